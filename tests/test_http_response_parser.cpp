// Which answers are HTTP and which are not, a row a form; RFC 9112, sections 4 to 7.
#include "http_response_parser.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <vector>

namespace jacinthvale {

namespace {

using status = http_response_parser::status;

constexpr std::size_t kMaxHeaderBytes = 1024;
constexpr std::size_t kMaxBodyBytes = 4096;

/// What became of an answer after all of its bytes.
struct reading
{
    status reached = status::incomplete;
    int code = 0;
    http_headers headers;
    std::string body;
    std::string_view rule;
    std::size_t offset = 0;
    bool keepsAlive = false;
    std::size_t unread = 0;
    bool endsWithConnection = false;
};

/// Reads an answer that arrives in pieces of the same size.
reading readInPieces(std::string_view bytes, std::size_t pieceSize)
{
    http_response_parser parser(kMaxHeaderBytes, kMaxBodyBytes);
    reading read;
    std::string input;
    for (std::size_t at = 0; at < bytes.size() && read.reached == status::incomplete; at += pieceSize) {
        input += bytes.substr(at, pieceSize);
        do {
            const auto fed = parser.feed(input);
            input.erase(0, fed.consumed);
            read.reached = fed.reached;
        } while (read.reached == status::head_complete);
        read.unread = input.size() + bytes.size() - std::min(bytes.size(), at + pieceSize);
    }
    if (read.reached == status::failed) {
        read.rule = parser.fault().rule;
        read.offset = parser.fault().offset;
    } else if (parser.hasHead()) {
        read.code = parser.statusCode();
        read.headers = parser.headers();
        read.keepsAlive = parser.keepsAlive();
        read.body = parser.body();
    }
    if (read.reached == status::incomplete) {
        read.endsWithConnection = parser.endsWithConnection();
    }
    return read;
}

struct sound_answer
{
    const char *name;
    std::string bytes;
    int code = 200;
    std::string body = {};
    bool keepsAlive = true;
};

struct broken_answer
{
    std::string_view rule;
    std::string bytes;
};

std::string withField(const std::string &field)
{
    return "HTTP/1.1 200 OK\r\n" + field + "\r\nContent-Length: 2\r\n\r\nok";
}

std::string withStatusLine(const std::string &line)
{
    return line + "\r\nContent-Length: 2\r\n\r\nok";
}

std::string withFraming(const std::string &fields, const std::string &body = "ok")
{
    return "HTTP/1.1 200 OK\r\n" + fields + "\r\n\r\n" + body;
}

std::string withChunks(const std::string &chunks)
{
    return withFraming("Transfer-Encoding: chunked", chunks);
}

std::vector<sound_answer> soundAnswers()
{
    const std::string final = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    return {
            {"with a length", final, 200, "ok"},
            {"no reason", withStatusLine("HTTP/1.1 200 "), 200, "ok"},
            {"no reason and no blank", withStatusLine("HTTP/1.1 200"), 200, "ok"},
            {"reason of many words", withStatusLine("HTTP/1.1 200 All\tis  well"), 200, "ok"},
            {"reason of another alphabet", withStatusLine("HTTP/1.1 200 Gr\xC3\xBC\xDF"), 200, "ok"},
            {"unknown status", withStatusLine("HTTP/1.1 299 New"), 299, "ok"},
            {"unknown failure", withStatusLine("HTTP/1.1 599 New"), 599, "ok"},
            {"former version", withFraming("Content-Length: 2", "ok").replace(7, 1, "0"), 200, "ok", false},
            {"former version, kept",
             withFraming("Content-Length: 2\r\nConnection: keep-alive", "ok").replace(7, 1, "0"), 200, "ok"},
            {"last answer of a connection", withField("Connection: close"), 200, "ok", false},
            {"no blank before a value", withField("X-A:1"), 200, "ok"},
            {"blanks around a value", withField("X-A: \t 1 2 \t "), 200, "ok"},
            {"empty value", withField("X-A:"), 200, "ok"},
            {"value of another alphabet", withField("X-A: \x80\xFF"), 200, "ok"},
            {"name of all characters", withField("!#$%&'*+-.^_`|~09azAZ: 1"), 200, "ok"},
            {"folded value", withField("X-A: 1\r\n 2"), 200, "ok"},
            {"field twice", withField("X-A: 1\r\nX-A: 2"), 200, "ok"},
            {"same length twice", withFraming("Content-Length: 2\r\nContent-Length: 2"), 200, "ok"},
            {"same length in a list", withFraming("Content-Length: 2, 2"), 200, "ok"},
            {"length with zeros", withFraming("Content-Length: 002"), 200, "ok"},
            {"empty body", withFraming("Content-Length: 0", ""), 200, ""},
            {"no content", "HTTP/1.1 204 No Content\r\n\r\n", 204, ""},
            {"not modified", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", 304, ""},
            {"interim response", "HTTP/1.1 100 Continue\r\n\r\n" + final, 200, "ok"},
            {"other interim responses",
             "HTTP/1.1 102 Processing\r\nX-A: 1\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
                     + final,
             200, "ok"},
            {"chunks", withChunks("2\r\nok\r\n0\r\n\r\n"), 200, "ok"},
            {"chunks, other case", withFraming("transfer-encoding: CHUNKED", "2\r\nok\r\n0\r\n\r\n"), 200,
             "ok"},
            {"many chunks", withChunks("1\r\no\r\n01\r\nk\r\n000\r\n\r\n"), 200, "ok"},
            {"large digit", withChunks("A\r\n0123456789\r\n0\r\n\r\n"), 200, "0123456789"},
            {"chunk extensions", withChunks("2;a\r\nok\r\n0;b=1;c=\"x;y\"\r\n\r\n"), 200, "ok"},
            {"blanks before an extension", withChunks("2 ; a = 1\r\nok\r\n0\r\n\r\n"), 200, "ok"},
            {"trailers", withChunks("2\r\nok\r\n0\r\nX-A: 1\r\nX-B: 2\r\n\r\n"), 200, "ok"},
            {"empty chunks only", withChunks("0\r\n\r\n"), 200, ""},
    };
}

std::vector<broken_answer> brokenAnswers()
{
    std::vector<broken_answer> answers = {
            {"status_line", withStatusLine("HTTP/1,1 200 OK")},
            {"status_line", withStatusLine("http/1.1 200 OK")},
            {"status_line", withStatusLine("HTTP/2.0 200 OK")},
            {"status_line", withStatusLine("HTTP/1.1\t200 OK")},
            {"status_line", "ICY 200 OK and some more\r\n\r\n"},
            {"status_line", "\r\n" + withStatusLine("HTTP/1.1 200 OK")},
            {"status_line", "{\"bytes\":\"that are no answer\"}"},
            {"reason", withStatusLine("HTTP/1.1 200 O\x01K")},
            {"reason", withStatusLine("HTTP/1.1 200 O\x7FK")},
            {"reason", "HTTP/1.1 200 OK\nContent-Length: 2\r\n\r\nok"},
            {"line_end", "HTTP/1.1 200 O\rK\r\nContent-Length: 2\r\n\r\nok"},
            {"field_name", withField("X-A\t: 1")},
            {"field_name", withField("X\xC3-A: 1")},
            {"field_name", withField(": 1")},
            {"field_name", withField("no colon")},
            {"field_name", withField(" folded: from nothing")},
            {"field_name", withFraming("Content-Length : 2")},
            {"field_name", withFraming("Transfer-Encoding : chunked", "2\r\nok\r\n0\r\n\r\n")},
            {"field_value", withField(std::string("X-A: 1\0002", 8))},
            {"field_value", withField("X-A: 1\x01")},
            {"field_value", withField("X-A: 1\x7F")},
            {"field_value", "HTTP/1.1 200 OK\r\nX-A: 1\nContent-Length: 2\r\n\r\nok"},
            {"line_end", withField("X-A: 1\rX-B: 2")},
            {"content_length", withFraming("Content-Length: 2\r\nContent-Length: 3")},
            {"content_length", withFraming("Content-Length: 2, 3")},
            {"content_length", withFraming("Content-Length: +2")},
            {"content_length", withFraming("Content-Length: -2")},
            {"content_length", withFraming("Content-Length: 0x2")},
            {"content_length", withFraming("Content-Length: 2 2")},
            {"content_length", withFraming("Content-Length: 2.0")},
            {"content_length", withFraming("Content-Length:")},
            {"content_length", withFraming("Content-Length: 18446744073709551618")},
            {"content_length", withFraming("Transfer-Encoding: chunked\r\nContent-Length: 2")},
            {"transfer_encoding", withFraming("Content-Length: 2\r\nTransfer-Encoding: chunked")},
            {"transfer_encoding", withFraming("Transfer-Encoding: gzip")},
            {"transfer_encoding", withFraming("Transfer-Encoding: gzip\r\nContent-Length: 2")},
            {"transfer_encoding", withFraming("Transfer-Encoding: gzip, chunked")},
            {"transfer_encoding", withFraming("Transfer-Encoding: chunked, gzip")},
            {"transfer_encoding", withFraming("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked")},
            {"transfer_encoding", withFraming("Transfer-Encoding:")},
            {"transfer_encoding",
             "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
            {"chunk_size", withChunks("x\r\nok\r\n0\r\n\r\n")},
            {"chunk_size", withChunks("-2\r\nok\r\n0\r\n\r\n")},
            {"chunk_size", withChunks("\r\nok\r\n0\r\n\r\n")},
            {"chunk_size", withChunks(" 2\r\nok\r\n0\r\n\r\n")},
            {"chunk_extension", withChunks("2 \r\nok\r\n0\r\n\r\n")},
            {"chunk_extension", withChunks("0x2\r\nok\r\n0\r\n\r\n")},
            {"chunk_extension", withChunks("2;\r\nok\r\n0\r\n\r\n")},
            {"chunk_size", withChunks("10000000000000000\r\nok\r\n0\r\n\r\n")},
            {"chunk_size", withChunks("2\r\nokay\r\n0\r\n\r\n")},
            {"chunk_size", withChunks("2\r\nok\n0\r\n\r\n")},
            {"chunk_extension", withChunks("2\nok\r\n0\r\n\r\n")},
            {"line_end", withChunks("2\rok\r\n0\r\n\r\n")},
            {"field_name", withChunks("2\r\nok\r\n0\r\nX A: 1\r\n\r\n")},
            {"field_value", withChunks("2\r\nok\r\n0\r\nX-A: \x01\r\n\r\n")},
            {"content_length", withChunks("2\r\nok\r\n0\r\nContent-Length: 2\r\n\r\n")},
            {"head_too_large", withField("X-A: " + std::string(kMaxHeaderBytes, 'x'))},
            {"body_too_large", withFraming("Content-Length: 4097", "")},
            {"body_too_large", withFraming("X-A: 1", std::string(kMaxBodyBytes + 1, 'x'))},
            {"body_too_large", withChunks("1001\r\n" + std::string(kMaxBodyBytes + 1, 'x') + "\r\n")},
            {"framing_too_large", withChunks(std::string(kMaxHeaderBytes + 1, '0'))},
            {"framing_too_large", withChunks("1;" + std::string(kMaxHeaderBytes + 1, 'a') + "\r\n")},
            {"framing_too_large", withChunks("0\r\nX-A: " + std::string(kMaxHeaderBytes + 1, 'a') + "\r\n")},
    };
    for (const char *code : {"000", "00", "0", "20", "2", "", "2000", "99", "099", "600", "999", "+20", "-20",
                             "2x0", "x00", "20x", " 200", "101"}) {
        answers.push_back({"status_code", withStatusLine(std::string("HTTP/1.1 ") + code + " OK")});
    }
    for (const std::string code : {"000", "20", "2000", "2x0"}) {
        answers.push_back({"status_code", withStatusLine("HTTP/1.1 " + code)});
    }
    for (const char character : std::string("\x01\x08\x0B\x1F \"(),/;<=>?@[\\]{}\x7F\x80\xFF")) {
        answers.push_back({"field_name", withField(std::string("X") + character + "A: 1")});
    }
    answers.push_back({"field_name", withField(std::string("X\0A: 1", 6))});
    std::string interim;
    while (interim.size() <= kMaxHeaderBytes) {
        interim += "HTTP/1.1 102 Processing\r\n\r\n";
    }
    answers.push_back({"head_too_large", interim});
    std::string tinyChunks;
    while (tinyChunks.size() <= 2 * kMaxHeaderBytes) {
        tinyChunks += "1;a=" + std::string(40, 'x') + "\r\nx\r\n";
    }
    answers.push_back({"framing_too_large", withChunks(tinyChunks)});
    return answers;
}

/// Sizes of the pieces in which an answer arrives.
const std::vector<std::size_t> kPieceSizes = {1, 2, 7, 1 << 20};

} // namespace

TEST(http_response_parser, takesEachSoundForm)
{
    for (const sound_answer &answer : soundAnswers()) {
        for (const std::size_t size : kPieceSizes) {
            const reading read = readInPieces(answer.bytes, size);
            EXPECT_EQ(read.reached, status::complete)
                    << answer.name << " in pieces of " << size << ": " << read.rule;
            EXPECT_EQ(read.code, answer.code) << answer.name;
            EXPECT_EQ(read.body, answer.body) << answer.name << " in pieces of " << size;
            EXPECT_EQ(read.keepsAlive, answer.keepsAlive) << answer.name;
            EXPECT_EQ(read.unread, 0U) << answer.name;
        }
    }
}

// A server in trouble sent the status 000, or a field name with a blank or a control byte, and clients got
// them as answers.
TEST(http_response_parser, refusesEachBrokenForm)
{
    for (const broken_answer &answer : brokenAnswers()) {
        for (const std::size_t size : kPieceSizes) {
            const reading read = readInPieces(answer.bytes, size);
            EXPECT_EQ(read.reached, status::failed)
                    << answer.rule << " in pieces of " << size << ": " << answer.bytes.substr(0, 80);
            EXPECT_EQ(read.rule, answer.rule)
                    << " in pieces of " << size << ": " << answer.bytes.substr(0, 80);
        }
    }
}

TEST(http_response_parser, tellsWhereAnAnswerBreaks)
{
    const std::string before = "HTTP/1.1 200 OK\r\nX-A: 1\r\n";
    const reading read = readInPieces(before + "X B: 2\r\nContent-Length: 0\r\n\r\n", 1 << 20);
    EXPECT_EQ(read.rule, "field_name");
    EXPECT_EQ(read.offset, before.size());
}

TEST(http_response_parser, foldedValueIsOneLine)
{
    EXPECT_EQ(readInPieces(withField("X-A: 1\r\n\t2"), 1 << 20).headers.at("X-A"), "1 2");
}

TEST(http_response_parser, fieldsOfInterimResponsesAndTrailersAreNotThoseOfTheAnswer)
{
    const reading read = readInPieces("HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\n"
                                              + withChunks("2\r\nok\r\n0\r\nX-B: 1\r\n\r\n"),
                                      1 << 20);
    EXPECT_EQ(read.reached, status::complete);
    EXPECT_FALSE(read.headers.contains("X-A"));
    EXPECT_FALSE(read.headers.contains("X-B"));
}

TEST(http_response_parser, bodyWithoutLengthEndsWithItsConnection)
{
    const reading read = readInPieces(withFraming("X-A: 1", "ok"), 1);
    EXPECT_EQ(read.reached, status::incomplete);
    EXPECT_TRUE(read.endsWithConnection);
    EXPECT_FALSE(read.keepsAlive);
    EXPECT_EQ(read.body, "ok");
}

TEST(http_response_parser, shortAnswersDoNotEndWithTheirConnection)
{
    for (const std::string &whole : {withFraming("Content-Length: 2"), withChunks("2\r\nok\r\n0\r\n\r\n")}) {
        for (std::size_t size = 0; size < whole.size(); ++size) {
            EXPECT_FALSE(readInPieces(whole.substr(0, size), 1 << 20).endsWithConnection)
                    << size << " bytes of " << whole;
        }
    }
    EXPECT_FALSE(readInPieces("HTTP/1.1 100 Continue\r\n\r\n", 1 << 20).endsWithConnection);
}

TEST(http_response_parser, bytesBehindAnAnswerStayUnread)
{
    EXPECT_EQ(readInPieces(withFraming("Content-Length: 2", "okHTTP"), 1 << 20).unread, 4U);
    EXPECT_EQ(readInPieces("HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nok", 1 << 20).unread, 2U);
}

} // namespace jacinthvale
