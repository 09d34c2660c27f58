#include <fulmarjunction/serving/in_flight.hpp>

#include <sodium.h>

#include <vector>

namespace fulmarjunction {

std::string random_hex(std::size_t count)
{
    std::vector<unsigned char> bytes(count);
    randombytes_buf(bytes.data(), bytes.size());
    std::string digits(2 * count + 1, '\0');
    sodium_bin2hex(digits.data(), digits.size(), bytes.data(), bytes.size());
    digits.pop_back();
    return digits;
}

root_id random_root()
{
    root_id root;
    randombytes_buf(root.bytes.data(), root.bytes.size());
    return root;
}

std::string in_flight_table::add(std::shared_ptr<running_request> request)
{
    constexpr std::size_t token_bytes = 16;
    auto token = random_hex(token_bytes);
    requests_.emplace(token, std::move(request));
    return token;
}

std::shared_ptr<running_request>
in_flight_table::find(std::string_view token) const
{
    const auto found = requests_.find(std::string(token));
    return found == requests_.end() ? nullptr : found->second;
}

void in_flight_table::remove(const std::string& token)
{
    requests_.erase(token);
}

} // namespace fulmarjunction
