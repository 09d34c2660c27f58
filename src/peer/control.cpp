#include <fulmarjunction/peer/control.hpp>

#include <fulmarjunction/core/address.hpp>

namespace fulmarjunction {

awaitable<result<std::string>> send_control(
    peer_client& peers, peer_address to, std::string name, std::string text,
    time_point deadline)
{
    streamed_request request;
    request.method = "POST";
    request.target = "/control/" + name;
    request.headers = {
        {"host", "control"}, {"content-type", "application/json"}};
    request.content_length = text.size();
    request.body = string_body(std::move(text));
    auto answer = co_await peers.send(
        to.address, to.name, std::move(request), deadline, deadline);
    if (!answer)
        co_return answer.error();
    auto body =
        co_await read_body(std::move(answer.value().body), max_control_bytes);
    if (!body)
        co_return body.error();
    if (answer.value().status != 200) {
        co_return fail(
            errc::malformed, "control " + name, format_address(to.address),
            body.value());
    }
    co_return std::move(body.value());
}

streamed_response make_control_answer(const result<std::string>& text)
{
    streamed_response answer;
    answer.status = text ? 200 : 400;
    auto body = text ? text.value() : to_string(text.error());
    answer.headers = {{"content-type", "application/json"}};
    answer.content_length = body.size();
    answer.body = string_body(std::move(body));
    return answer;
}

} // namespace fulmarjunction
