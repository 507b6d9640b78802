#include "plankledge_policy/membership/Membership.h"

#include "plankledge_core/Hash.h"
#include <algorithm>

namespace plankledge
{

namespace
{

constexpr Duration departedRetention = std::chrono::minutes (10);
constexpr Duration lostMemoryRetention = std::chrono::hours (2); // exceeds the longest accepted record window

} // namespace

//==============================================================================
Membership::Membership (const Member& self)
    : m_self (self)
{
    m_known[self.m_id.m_instance] = KnownMember { self, false, false, {}, {}, {} };
    m_byService[self.m_service].insert (self.m_id.m_instance);
}

bool Membership::merge (const Member& member, Time now)
{
    const auto& instance = member.m_id.m_instance;

    if (instance == m_self.m_id.m_instance)
    {
        if (member.m_id.m_incarnation != 0 && member.m_id.m_incarnation < m_self.m_id.m_incarnation &&
            ! m_lostMemories.contains (member.m_id) && ! hasDeparted (member.m_id))
            markLost (member.m_id, now);

        return false;
    }

    if (hasDeparted (member.m_id))
        return false;

    const auto found = m_known.find (instance);

    if (found == m_known.end())
    {
        m_known[instance] = KnownMember { member, false, false, now, now, {} };
        m_byService[member.m_service].insert (instance);
        onViewChanged();
        return true;
    }

    auto& known = found->second;

    if (member.m_id.m_incarnation < known.m_member.m_id.m_incarnation)
    {
        if (isOwnService (member) && member.m_id.m_incarnation != 0 &&
            ! m_lostMemories.contains (member.m_id))
            markLost (member.m_id, now);

        return false;
    }

    if (member.m_id.m_incarnation > known.m_member.m_id.m_incarnation)
    {
        if (isOwnService (known.m_member) && known.m_member.m_id.m_incarnation != 0)
            markLost (known.m_member.m_id, now);

        // The first known incarnation of a listed instance is not gossiped: the instance announces it itself.
        const bool wasOnlyListed = known.m_member.m_id.m_incarnation == 0;
        known.m_acknowledgedByAll.reset();
        known.m_lastContact = now;
        known.m_member = member;
        onViewChanged();
        return ! wasOnlyListed || member.m_state == MemberState::leaving;
    }

    if (member.m_stateVersion <= known.m_member.m_stateVersion)
        return false;

    // Only changes to or from the leaving state are gossiped.
    const bool wasLeaving = known.m_member.m_state == MemberState::leaving;
    known.m_member = member;
    return wasLeaving || member.m_state == MemberState::leaving;
}

void Membership::onMessageFrom (const NodeId& id, Time now)
{
    // A node that was removed because it was not listed, but still sends messages, has not departed.
    const auto departed = m_departed.find (id.m_instance);

    if (departed != m_departed.end() && ! departed->second.m_isPlanned)
        m_departed.erase (departed);

    const auto found = m_known.find (id.m_instance);

    if (found == m_known.end())
        return;

    found->second.m_lastContact = now;

    if (id.m_incarnation > found->second.m_member.m_id.m_incarnation)
    {
        auto newer = found->second.m_member;
        newer.m_id = id;
        newer.m_state = MemberState::joining;
        newer.m_stateVersion = 0;
        merge (newer, now);
    }
}

//==============================================================================
void Membership::applyListedInstance (const ListedInstance& listed, const NodeSettings& settings, Time now)
{
    const auto departed = m_departed.find (listed.m_instance);
    const bool mayBeStale =
        departed != m_departed.end() && now - departed->second.m_departedAt < settings.m_listLagBound;

    if (! m_known.contains (listed.m_instance))
    {
        if (mayBeStale)
            return;

        const Member member { { listed.m_instance, 0 }, listed.m_service,     listed.m_zone,
                              listed.m_endpoint,        MemberState::serving, 0 };
        merge (member, now);
    }

    auto& known = m_known[listed.m_instance];
    known.m_isListed = true;
    known.m_isListedLeaving = listed.m_isLeaving;
}

std::vector<NodeId> Membership::onList (const std::vector<ListedInstance>& list, const NodeSettings& settings,
                                        Time now)
{
    std::set<InstanceName> listedNames;

    for (const auto& listed : list)
    {
        listedNames.insert (listed.m_instance);
        applyListedInstance (listed, settings, now);
    }

    std::vector<NodeId> removed;

    for (auto& [instance, known] : m_known)
    {
        const bool isTimedOut = now - known.m_lastContact >= settings.m_silenceTimeout;
        const bool isSelf = instance == m_self.m_id.m_instance;

        if (! isSelf && known.m_isListed && isTimedOut && ! listedNames.contains (instance))
            removed.push_back (known.m_member.m_id);
    }

    for (const auto& id : removed)
    {
        if (isOwnService (m_known[id.m_instance].m_member))
            markLost (id, now);

        remove (id.m_instance, now);
    }

    return removed;
}

void Membership::onLeft (const NodeId& id, Time now)
{
    const auto found = m_known.find (id.m_instance);

    if (found != m_known.end() && found->second.m_member.m_id.m_incarnation <= id.m_incarnation)
        remove (id.m_instance, now);

    auto& departed = m_departed[id.m_instance];
    departed = { std::max (departed.m_incarnation, id.m_incarnation), now, true };
}

void Membership::removeUnreachable (const InstanceName& instance, Time now)
{
    const auto found = m_known.find (instance);

    if (found == m_known.end() || instance == m_self.m_id.m_instance)
        return;

    if (isOwnService (found->second.m_member))
        markLost (found->second.m_member.m_id, now);

    remove (instance, now);
}

void Membership::remove (const InstanceName& instance, Time now)
{
    const auto found = m_known.find (instance);

    if (found == m_known.end())
        return;

    const auto member = found->second.m_member;
    m_departed[instance] = { member.m_id.m_incarnation, now, false };
    m_byService[member.m_service].erase (instance);
    m_known.erase (found);
    onViewChanged();
}

bool Membership::hasDeparted (const NodeId& id) const
{
    const auto found = m_departed.find (id.m_instance);
    return found != m_departed.end() && id.m_incarnation != 0 &&
           id.m_incarnation <= found->second.m_incarnation;
}

void Membership::onLost (const LostMemory& lost, Time now)
{
    markLost (lost.m_id, now - lost.m_timeSinceLoss);
}

void Membership::markLost (const NodeId& id, Time at)
{
    auto& lostAt = m_lostMemories.try_emplace (id, at).first->second;
    lostAt = std::max (lostAt, at);
}

void Membership::setOwnState (MemberState state)
{
    if (m_self.m_state == state)
        return;

    m_self.m_state = state;
    ++m_self.m_stateVersion;
    m_known[m_self.m_id.m_instance].m_member = m_self;
}

//==============================================================================
const Member* Membership::find (const InstanceName& instance) const
{
    const auto found = m_known.find (instance);
    return found != m_known.end() ? &found->second.m_member : nullptr;
}

std::vector<Member> Membership::others() const
{
    std::vector<Member> result;
    result.reserve (m_known.size());

    for (const auto& [instance, known] : m_known)
        if (instance != m_self.m_id.m_instance)
            result.push_back (known.m_member);

    return result;
}

std::vector<Member> Membership::peers() const
{
    auto members = ownServiceMembers();
    std::erase_if (members, [this] (const Member& member) { return member.m_id == m_self.m_id; });
    return members;
}

std::vector<Member> Membership::acceptingRequests (const ServiceName& service) const
{
    std::vector<Member> result;
    const auto names = m_byService.find (service);

    if (names == m_byService.end())
        return result;

    for (const auto& instance : names->second)
    {
        const auto& known = m_known.at (instance);

        if (known.m_member.m_state != MemberState::leaving && ! known.m_isListedLeaving)
            result.push_back (known.m_member);
    }

    return result;
}

std::vector<Member> Membership::ownServiceMembers() const
{
    std::vector<Member> result;

    for (const auto& instance : m_byService.at (m_self.m_service))
        result.push_back (m_known.at (instance).m_member);

    return result;
}

bool Membership::isListed (const InstanceName& instance) const
{
    const auto found = m_known.find (instance);
    return found != m_known.end() && found->second.m_isListed;
}

bool Membership::isListedLeaving (const InstanceName& instance) const
{
    const auto found = m_known.find (instance);
    return found != m_known.end() && found->second.m_isListedLeaving;
}

std::optional<Time> Membership::knownSince (const InstanceName& instance) const
{
    const auto found = m_known.find (instance);
    return found != m_known.end() ? std::optional<Time> (found->second.m_knownSince) : std::nullopt;
}

//==============================================================================
std::vector<Member> Membership::firstCandidates (std::vector<Member> members, std::uint64_t keyHash)
{
    const auto before = [keyHash] (const Member& left, const Member& right) {
        return rendezvousWeight (keyHash, left.m_id.m_instance) >
               rendezvousWeight (keyHash, right.m_id.m_instance);
    };

    const auto count = std::min (candidatesPerKey, members.size());
    std::partial_sort (members.begin(), members.begin() + static_cast<std::ptrdiff_t> (count), members.end(),
                       before);
    members.resize (count);
    return members;
}

std::vector<Member> Membership::candidatesFor (std::uint64_t keyHash, const ServiceName& service) const
{
    std::vector<Member> members;

    if (const auto names = m_byService.find (service); names != m_byService.end())
        for (const auto& instance : names->second)
            members.push_back (m_known.at (instance).m_member);

    return firstCandidates (std::move (members), keyHash);
}

std::vector<Member> Membership::successorsOf (std::uint64_t keyHash) const
{
    return firstCandidates (peers(), keyHash);
}

bool Membership::isCandidate (std::uint64_t keyHash) const
{
    const auto candidates = candidatesFor (keyHash, m_self.m_service);
    return std::any_of (candidates.begin(), candidates.end(), [this] (const Member& member) {
        return member.m_id.m_instance == m_self.m_id.m_instance;
    });
}

bool Membership::isAcknowledged (const KnownMember& known, Duration window, Time now) const
{
    return known.m_acknowledgedByAll.has_value() && *known.m_acknowledgedByAll + window <= now;
}

bool Membership::couldHaveRun (std::uint64_t keyHash, const InstanceName& instance,
                               std::optional<Duration> window, Time now) const
{
    const auto weight = rendezvousWeight (keyHash, instance);
    std::size_t ahead = 0;

    for (const auto& name : m_byService.at (m_self.m_service))
    {
        const bool rulesOut = ! window.has_value() || isAcknowledged (m_known.at (name), *window, now);

        if (name != instance && rendezvousWeight (keyHash, name) > weight && rulesOut)
            ++ahead;
    }

    return ahead < candidatesPerKey;
}

bool Membership::hasLostMemory (std::uint64_t keyHash, Time earliestSent, Duration window, Time now) const
{
    return std::any_of (m_lostMemories.begin(), m_lostMemories.end(), [&] (const auto& lost) {
        return lost.second > earliestSent && couldHaveRun (keyHash, lost.first.m_instance, window, now);
    });
}

std::vector<LostMemory> Membership::lostMemories (Time now) const
{
    std::vector<LostMemory> result;

    for (const auto& [id, at] : m_lostMemories)
        result.push_back ({ id, now - at });

    return result;
}

//==============================================================================
std::uint64_t Membership::digest() const
{
    std::uint64_t value = 0;

    for (const auto& instance : m_byService.at (m_self.m_service))
        value = hashText (instance, value + m_known.at (instance).m_member.m_id.m_incarnation);

    return value;
}

void Membership::onDigest (const InstanceName& peer, std::uint64_t peerDigest, Time now)
{
    if (peerDigest != digest())
    {
        m_agreeingPeers.erase (peer);
        return;
    }

    m_agreeingPeers.insert (peer);

    for (const auto& instance : m_byService.at (m_self.m_service))
        if (instance != m_self.m_id.m_instance && ! m_agreeingPeers.contains (instance))
            return;

    for (const auto& instance : m_byService.at (m_self.m_service))
    {
        auto& known = m_known.at (instance);

        if (! known.m_acknowledgedByAll.has_value())
            known.m_acknowledgedByAll = now;
    }
}

void Membership::removeExpired (Time now)
{
    std::erase_if (m_lostMemories,
                   [now] (const auto& lost) { return now - lost.second > lostMemoryRetention; });
    std::erase_if (m_departed, [now] (const auto& departed) {
        return now - departed.second.m_departedAt > departedRetention;
    });
}

} // namespace plankledge
