#include "plankledge_runtime/LinkTraffic.h"

#include <array>

namespace plankledge
{

std::string_view nameOf (FrameKind kind) noexcept
{
    constexpr std::array<std::string_view, static_cast<std::size_t> (FrameKind::frameKindCount)> names {
        "hello",   "status", "request", "answer",  "cancel", "routes",
        "members", "proof",  "limit",   "crashes", "keyed"
    };
    return names[static_cast<std::size_t> (kind)];
}

namespace
{

struct FrameKindVisitor
{
    FrameKind operator() (const PeerHello&) const noexcept { return FrameKind::hello; }
    FrameKind operator() (const PeerStatus&) const noexcept { return FrameKind::status; }
    FrameKind operator() (const RelayRequest&) const noexcept { return FrameKind::request; }
    FrameKind operator() (const RelayBodyPart&) const noexcept { return FrameKind::request; }
    FrameKind operator() (const RelayAnswer&) const noexcept { return FrameKind::answer; }
    FrameKind operator() (const RelayCancel&) const noexcept { return FrameKind::cancel; }
    FrameKind operator() (const RoutesPull&) const noexcept { return FrameKind::routes; }
    FrameKind operator() (const RoutesText&) const noexcept { return FrameKind::routes; }
    FrameKind operator() (const MembersPull&) const noexcept { return FrameKind::members; }
    FrameKind operator() (const MembersUpdate&) const noexcept { return FrameKind::members; }
    FrameKind operator() (const ProofQuery&) const noexcept { return FrameKind::proof; }
    FrameKind operator() (const ProofAnswer&) const noexcept { return FrameKind::proof; }
    FrameKind operator() (const LimitQuery&) const noexcept { return FrameKind::limit; }
    FrameKind operator() (const LimitAnswer&) const noexcept { return FrameKind::limit; }
    FrameKind operator() (const CrashUpdate&) const noexcept { return FrameKind::crashes; }
    FrameKind operator() (const CrashPull&) const noexcept { return FrameKind::crashes; }
    template <class Other> FrameKind operator() (const Other&) const noexcept { return FrameKind::keyed; }
};

} // namespace

FrameKind kindOf (const PeerMessage& message) noexcept
{
    return std::visit (FrameKindVisitor(), message);
}

} // namespace plankledge
