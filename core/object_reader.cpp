#include "core/object_reader.hpp"

#include <fmt/format.h>

namespace pomelohinge {

object_reader::object_reader(
    json_document const& document, std::string pointer, findings& found)
    : document_(document), pointer_(std::move(pointer)), found_(found)
{
    nlohmann::json::json_pointer const location(pointer_);
    if (document_.value.contains(location) &&
        document_.value.at(location).is_object())
        object_ = &document_.value.at(location);
    else
        found_.add(
            document_.position_of(pointer_), pointer_, "an object is expected");
}

bool object_reader::has(std::string_view field) const
{
    return object_ != nullptr && object_->contains(field);
}

nlohmann::json const* object_reader::find(
    std::string_view field, presence expected)
{
    known_fields_.emplace(field);
    if (object_ == nullptr)
        return nullptr;
    auto const it = object_->find(field);
    if (it != object_->end())
        return &*it;
    if (expected == presence::required)
        found_.add(document_.position_of(pointer_), pointer_,
            fmt::format("field \"{}\" is missing", field));
    return nullptr;
}

void object_reader::add(std::string_view field, std::string message)
{
    auto const path = pointer_ + "/" + escape_pointer_token(field);
    found_.add(document_.position_of(path), path, std::move(message));
}

void object_reader::text(
    std::string_view field, std::string& out, presence expected)
{
    auto const* const it = find(field, expected);
    if (it == nullptr)
        return;
    if (!it->is_string())
        return add(field, "a string is expected");
    out = it->get<std::string>();
}

void object_reader::flag(std::string_view field, bool& out, presence expected)
{
    auto const* const it = find(field, expected);
    if (it == nullptr)
        return;
    if (!it->is_boolean())
        return add(field, "true or false is expected");
    out = it->get<bool>();
}

void object_reader::integer(std::string_view field, std::int64_t& out,
    std::int64_t low, std::int64_t high, presence expected)
{
    auto const* const it = find(field, expected);
    if (it == nullptr)
        return;
    if (!it->is_number_integer())
        return add(field, "an integer is expected");
    auto const value = it->get<std::int64_t>();
    if (value < low || value > high)
        return add(field,
            fmt::format("{} is not between {} and {}", value, low, high));
    out = value;
}

void object_reader::number(std::string_view field, double& out, double low,
    double high, presence expected)
{
    auto const* const it = find(field, expected);
    if (it == nullptr)
        return;
    if (!it->is_number())
        return add(field, "a number is expected");
    auto const value = it->get<double>();
    if (value < low || value > high)
        return add(field,
            fmt::format("{} is not between {} and {}", value, low, high));
    out = value;
}

void object_reader::text_list(
    std::string_view field, std::vector<std::string>& out, presence expected)
{
    auto const* const it = find(field, expected);
    if (it == nullptr)
        return;
    if (!it->is_array())
        return add(field, "a list of strings is expected");
    std::vector<std::string> values;
    for (auto const& item : *it) {
        if (!item.is_string())
            return add(field, "a list of strings is expected");
        values.push_back(item.get<std::string>());
    }
    out = std::move(values);
}

void object_reader::finish()
{
    if (object_ == nullptr)
        return;
    for (auto const& it : object_->items())
        if (!known_fields_.contains(it.key()))
            add(it.key(), "unknown field");
}

} // namespace pomelohinge
