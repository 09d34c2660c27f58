/// @file
/// Responses with a text or JSON body, for the stand-ins.
#pragma once

#include <fulmarjunction/core/message.hpp>

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace fulmarjunction::detail {

/// Returns a response with a text body.
inline streamed_response
make_text_response(int status, std::string type, std::string text)
{
    streamed_response response;
    response.status = status;
    response.headers.push_back({"content-type", std::move(type)});
    response.content_length = text.size();
    response.body = string_body(std::move(text));
    return response;
}

/// Returns a response with a JSON body.
inline streamed_response
make_json_response(int status, const boost::json::value& document)
{
    return make_text_response(
        status, "application/json", boost::json::serialize(document));
}

} // namespace fulmarjunction::detail
