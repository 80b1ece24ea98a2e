#ifndef POMELOHINGE_DRIVERS_FRONT_EXPECT_CONTINUE_HPP
#define POMELOHINGE_DRIVERS_FRONT_EXPECT_CONTINUE_HPP

#include <string>
#include <string_view>

namespace pomelohinge {

/// Detects that a caller waits for a "100 Continue" before it sends the body of
/// a request (RFC 9110, section 10.1.1). RESTinio reads requests whole and
/// ignores the header.
class expect_continue
{
public:
    /// Adds bytes received from the caller.
    void add(std::string_view bytes);

    /// Starts with the next request; the one before is received whole.
    void request_received();

    /// Whether the caller waits.
    bool is_due() const { return stage_ == stage::expected; }

    /// Records that the caller has been told to continue.
    void mark_sent() { stage_ = stage::decided; }

private:
    static constexpr std::size_t max_head_bytes = 64 << 10;

    enum class stage { reading_head, expected, decided };

    stage stage_ = stage::reading_head;
    std::string head_;
};

} // namespace pomelohinge

#endif
