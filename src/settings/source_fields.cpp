#include "source_fields.hpp"

#include <algorithm>

namespace fulmarjunction::detail {

namespace {

struct open_value
{
    bool is_object = false;
    bool expects_key = false;
    std::string path;
};

class scanner
{
public:
    explicit scanner(std::string_view text) : text_(text) {}

    std::vector<source_field> run()
    {
        while (at_ < text_.size())
            step();
        return std::move(found_);
    }

private:
    void step()
    {
        const char c = text_[at_];
        if (c == '/')
            return skip_comment();
        if (c == '"')
            return read_string();
        if (c == '{' || c == '[')
            open_.push_back({c == '{', c == '{', key_});
        else if ((c == '}' || c == ']') && !open_.empty())
            open_.pop_back();
        else if (c == ',' && !open_.empty())
            open_.back().expects_key = open_.back().is_object;
        ++at_;
    }

    void skip_comment()
    {
        const bool block = text_.substr(at_).starts_with("/*");
        const auto end = text_.find(block ? "*/" : "\n", at_ + 2);
        at_ = end == std::string_view::npos ? text_.size()
                                            : end + (block ? 2 : 1);
    }

    void read_string()
    {
        const auto start = at_++;
        while (at_ < text_.size() && text_[at_] != '"')
            at_ += text_[at_] == '\\' ? 2 : 1;
        at_ = std::min(at_ + 1, text_.size());
        if (open_.empty() || !open_.back().expects_key)
            return;
        open_.back().expects_key = false;
        const auto name = text_.substr(start + 1, at_ - start - 2);
        key_ = open_.back().path;
        if (!key_.empty())
            key_ += '.';
        key_ += name;
        found_.push_back({key_, line_at(text_, start)});
    }

    std::string_view text_;
    std::size_t at_ = 0;
    std::string key_;
    std::vector<open_value> open_;
    std::vector<source_field> found_;
};

} // namespace

std::size_t line_at(std::string_view text, std::size_t position)
{
    const auto before = text.substr(0, position);
    return 1 + static_cast<std::size_t>(
                   std::count(before.begin(), before.end(), '\n'));
}

std::vector<source_field> find_source_fields(std::string_view text)
{
    return scanner(text).run();
}

} // namespace fulmarjunction::detail
