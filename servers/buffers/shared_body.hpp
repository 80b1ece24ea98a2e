#ifndef POMELOHINGE_SERVERS_BUFFERS_SHARED_BODY_HPP
#define POMELOHINGE_SERVERS_BUFFERS_SHARED_BODY_HPP

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace pomelohinge {

/// A read-only message body. Copies share its bytes.
class shared_body
{
public:
    shared_body() = default;
    shared_body(std::string bytes)
        : bytes_(std::make_shared<std::string const>(std::move(bytes)))
    {
    }
    shared_body(char const* bytes) : shared_body(std::string(bytes)) {}
    /// Shares bytes that belong to another object.
    explicit shared_body(std::shared_ptr<std::string const> bytes)
        : bytes_(std::move(bytes))
    {
    }

    operator std::string_view() const
    {
        return bytes_ == nullptr ? std::string_view() : *bytes_;
    }
    std::size_t size() const { return std::string_view(*this).size(); }
    bool empty() const { return size() == 0; }

    friend bool operator==(shared_body const& left, std::string_view right)
    {
        return std::string_view(left) == right;
    }

private:
    std::shared_ptr<std::string const> bytes_;
};

} // namespace pomelohinge

#endif
