#include "passing_fingerprint.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace fulmarjunction {

passing_fingerprint::passing_fingerprint(const streamed_request& request)
    : builder_(
          {}, std::string(find_header(request.headers, "host").value_or("")),
          request.target),
      remaining_(request.content_length),
      has_ended_(request.content_length == std::uint64_t{0})
{
}

std::shared_ptr<passing_fingerprint>
passing_fingerprint::attach(streamed_request& request)
{
    std::shared_ptr<passing_fingerprint> self(new passing_fingerprint(request));
    if (self->has_ended_ || !request.body)
        return self;
    self->body_ = std::move(request.body);
    request.body = [self](boost::asio::mutable_buffer buffer) {
        return read(self, buffer);
    };
    return self;
}

std::optional<fingerprint> passing_fingerprint::value() const
{
    if (!has_ended_)
        return std::nullopt;
    return builder_.value();
}

awaitable<result<std::size_t>> passing_fingerprint::read(
    std::shared_ptr<passing_fingerprint> self,
    boost::asio::mutable_buffer buffer)
{
    auto size = co_await self->body_(buffer);
    if (size)
        self->add({static_cast<const char*>(buffer.data()), size.value()});
    co_return size;
}

void passing_fingerprint::add(std::string_view bytes)
{
    builder_.add_body(bytes);
    if (remaining_)
        *remaining_ -= std::min<std::uint64_t>(*remaining_, bytes.size());
    has_ended_ = bytes.empty() || remaining_ == std::uint64_t{0};
}

} // namespace fulmarjunction
