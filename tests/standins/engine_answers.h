/// Answers of a stand-in engine while they grow.
#pragma once

#include "token_batch.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace jacinthvale::standin {

/// Renders events of streams and gathers whole answers.
class engine_answers
{
public:
    void open(const generation_request &request, const std::string &model);

    /// Adds the tokens of one step.
    /// @param held version that truly made them; it is written into the text.
    /// @param reported version that the engine names.
    /// @returns the event for the stream; empty for an answer that is sent whole.
    std::string append(const generation_step &step, std::uint64_t held, std::uint64_t reported);

    nlohmann::json whole(exchange_id exchange) const;
    const std::string &modelOf(exchange_id exchange) const { return m_open.at(exchange).model; }
    std::vector<exchange_id> exchanges() const;
    void close(exchange_id exchange) { m_open.erase(exchange); }

private:
    struct growing_answer
    {
        generation_request request;
        std::string model;
        std::string text;
        nlohmann::json segments = nlohmann::json::array();
        int tokens = 0;
    };

    std::map<exchange_id, growing_answer> m_open;
};

} // namespace jacinthvale::standin
