#include <peer/field_list.hpp>

#include <http/head.hpp>

#include <algorithm>

namespace fulmarjunction::detail {

namespace {

std::uint8_t* as_bytes(std::string_view text)
{
    return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
}

bool is_lower_token(std::string_view name)
{
    return is_token(name) && std::none_of(name.begin(), name.end(), [](char c) {
               return c >= 'A' && c <= 'Z';
           });
}

using field_check = int (*)(const std::uint8_t*, std::size_t);

bool passes(field_check check, std::string_view text)
{
    return check(
               reinterpret_cast<const std::uint8_t*>(text.data()),
               text.size()) != 0;
}

} // namespace

void field_list::add(std::string_view name, std::string_view value)
{
    fields_.push_back(
        {as_bytes(name), as_bytes(value), name.size(), value.size(),
         NGHTTP2_NV_FLAG_NONE});
    size_ += name.size() + value.size() + overhead;
}

bool field_list::add_headers(const header_fields& fields)
{
    for (const auto& field : fields) {
        if (is_connection_field(field.name) || field.name == "host")
            continue;
        if (!is_lower_token(field.name) ||
            !passes(nghttp2_check_header_value, field.value))
            return false;
        add(field.name, field.value);
    }
    return true;
}

std::string_view
choose_authority(const streamed_request& request, std::string_view peer_name)
{
    const auto host = find_header(request.headers, "host");
    if (host && !host->empty())
        return *host;
    return passes(nghttp2_check_authority, peer_name) ? peer_name : "peer";
}

bool has_valid_pseudo_headers(
    const streamed_request& request, std::string_view authority)
{
    const auto& target = request.target;
    const bool is_valid_target = target.starts_with('/') ||
                                 (request.method == "OPTIONS" && target == "*");
    return passes(nghttp2_check_method, request.method) &&
           request.method != "CONNECT" && is_valid_target &&
           passes(nghttp2_check_path, target) &&
           passes(nghttp2_check_authority, authority);
}

} // namespace fulmarjunction::detail
