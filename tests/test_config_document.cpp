// Documents and changes: encoding, validation, look-up and application.
#include <gtest/gtest.h>
#include <jacinthvale/config_change.h>
#include <rapidcheck/gtest.h>

using namespace jacinthvale;

namespace {

constexpr std::string_view kKey = "samples.maxStalenessVersions";

config_exception makeRule(config_scope scope, std::int64_t value)
{
    return {std::string(kKey), std::move(scope),           value, "trial",
            "an operator",     wall_time{milliseconds{5}}, {}};
}

config_scope drawScope()
{
    const auto field = [] { return *rc::gen::element<std::string>("", "a", "b"); };
    return {field(), field(), field(), field(), field()};
}

config_document drawDocument()
{
    config_document document;
    document.revision = {*rc::gen::inRange<std::uint64_t>(1, 1000)};
    document.changeId = "c";
    document.author = "an operator";
    document.reason = *rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::inRange('a', 'z')));
    document.defaults[std::string(kKey)] = *rc::gen::inRange<std::int64_t>(0, 1001);
    const int count = *rc::gen::inRange(0, 6);
    for (int i = 0; i < count; ++i) {
        config_exception rule = makeRule(drawScope(), *rc::gen::inRange<std::int64_t>(0, 1001));
        const bool known = std::ranges::any_of(document.exceptions,
                                               [&](const auto &other) { return other.scope == rule.scope; });
        if (!known && rule.scope != config_scope{}) {
            document.exceptions.push_back(rule);
        }
    }
    document.hash = documentHash(document);
    return document;
}

} // namespace

RC_GTEST_PROP(config_document, survivesEncoding, ())
{
    const config_document document = drawDocument();
    const auto read = decodeDocument(encodeDocument(document));
    RC_ASSERT(read.ok());
    RC_ASSERT(*read == document);
}

RC_GTEST_PROP(config_document, refusesEveryChangedByte, ())
{
    std::string text = encodeDocument(drawDocument());
    const auto place = *rc::gen::inRange<std::size_t>(0, text.size());
    const char other = *rc::gen::distinctFrom(rc::gen::inRange<char>(' ', '~'), text[place]);
    text[place] = other;
    RC_ASSERT(!decodeDocument(text).ok());
}

RC_GTEST_PROP(config_document, explainsWhatItLooksUp, ())
{
    const config_document document = drawDocument();
    const config_scope scope = drawScope();
    const config_explanation why = explain(document, kKey, scope, {});
    RC_ASSERT(why.value == lookup(document, kKey, scope, {}));
    RC_ASSERT(why.passedOver.size() + (why.rule ? 1U : 0U) == document.exceptions.size());
}

TEST(config_document, prefersTheExceptionThatNamesMore)
{
    config_document document;
    document.defaults[std::string(kKey)] = std::int64_t{1};
    document.exceptions
            = {makeRule({"misr", "delta-a", "", "", ""}, 3), makeRule({"misr", "", "", "", ""}, 2)};
    EXPECT_EQ(lookupInteger(document, kKey, {"misr", "delta-a", "", "", ""}, {}), 3);
    EXPECT_EQ(lookupInteger(document, kKey, {"misr", "delta-b", "", "", ""}, {}), 2);
    EXPECT_EQ(lookupInteger(document, kKey, {"namibia", "", "", "", ""}, {}), 1);
    document.exceptions[0].expiresAt = wall_time{milliseconds{10}};
    EXPECT_EQ(lookupInteger(document, kKey, {"misr", "delta-a", "", "", ""}, wall_time{milliseconds{10}}), 2);
}

TEST(config_document, namesEveryFaultOfAChange)
{
    const auto faultsOf = [](const std::string &text) {
        const config_change_reading reading = readChange(text);
        return reading.faults.empty() ? applyChange({}, reading.change, "me", {}).faults : reading.faults;
    };
    const std::string head = R"({"changeId":"c","baseRevision":0,"reason":"r",)";
    EXPECT_TRUE(faultsOf(head + R"("set":{"samples.maxStalenessVersions":4}})").empty());
    EXPECT_FALSE(faultsOf(head + R"("set":{"samples.maxStalenessVersions":1001}})").empty());
    EXPECT_FALSE(faultsOf(head + R"("set":{"samples.maxStalenessVersions":"4"}})").empty());
    EXPECT_FALSE(faultsOf(head + R"("set":{"samples.maxStalenessVersions":4.5}})").empty());
    EXPECT_FALSE(faultsOf(head + R"("set":{"no.such.key":4}})").empty());
    EXPECT_FALSE(faultsOf(head + R"("unset":["no.such.key"]})").empty());
    EXPECT_FALSE(faultsOf(head + R"("unknown":1})").empty());
    EXPECT_FALSE(faultsOf(R"({"changeId":"c","baseRevision":0,"reason":" ","set":{}})").empty());
    EXPECT_FALSE(faultsOf(R"({"changeId":"a/b","baseRevision":0,"reason":"r"})").empty());
    EXPECT_FALSE(faultsOf("{").empty());
    const std::string rule = R"("except":[{"key":"samples.maxStalenessVersions","value":4,)";
    EXPECT_TRUE(faultsOf(head + rule + R"("scope":{"trainer":"t"},"reason":"why"}]})").empty());
    EXPECT_FALSE(faultsOf(head + rule + R"("scope":{"trainer":"t"},"reason":""}]})").empty());
    EXPECT_FALSE(faultsOf(head + rule + R"("scope":{},"reason":"why"}]})").empty());
    EXPECT_FALSE(faultsOf(head + rule + R"("scope":{"planet":"t"},"reason":"why"}]})").empty());
}
