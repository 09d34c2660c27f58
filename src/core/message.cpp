#include <fulmarjunction/core/message.hpp>

#include <algorithm>
#include <array>
#include <cstring>
#include <memory>

namespace fulmarjunction {

std::optional<std::string_view>
find_header(const header_fields& fields, std::string_view name)
{
    const auto found = std::find_if(
        fields.begin(), fields.end(),
        [name](const header_field& field) { return field.name == name; });
    if (found == fields.end())
        return std::nullopt;
    return found->value;
}

void remove_header(header_fields& fields, std::string_view name)
{
    std::erase_if(fields, [name](const header_field& field) {
        return field.name == name;
    });
}

body_reader empty_body()
{
    return [](boost::asio::mutable_buffer) -> awaitable<result<std::size_t>> {
        co_return std::size_t{0};
    };
}

namespace {

struct text_cursor
{
    std::string text;
    std::size_t position = 0;
};

// Takes shared ownership of the body: the reader may be destroyed while this
// coroutine is suspended.
awaitable<result<std::size_t>>
read_text(std::shared_ptr<text_cursor> body, boost::asio::mutable_buffer buffer)
{
    const auto remaining = body->text.size() - body->position;
    const auto size = std::min(remaining, buffer.size());
    std::memcpy(buffer.data(), body->text.data() + body->position, size);
    body->position += size;
    co_return size;
}

} // namespace

body_reader string_body(std::string text)
{
    auto shared = std::make_shared<text_cursor>();
    shared->text = std::move(text);
    return [shared](boost::asio::mutable_buffer buffer) {
        return read_text(shared, buffer);
    };
}

awaitable<result<std::string>> read_body(body_reader body, std::size_t limit)
{
    std::string text;
    std::array<char, 16 * 1024> chunk{};
    for (;;) {
        const auto size = co_await body(boost::asio::buffer(chunk));
        if (!size)
            co_return size.error();
        if (size.value() == 0)
            co_return text;
        if (text.size() + size.value() > limit)
            co_return fail(errc::too_large, "read body");
        text.append(chunk.data(), size.value());
    }
}

} // namespace fulmarjunction
