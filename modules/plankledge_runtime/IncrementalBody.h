#pragma once

#include "plankledge_runtime/StringCapacity.h"

#include <boost/beast/core/buffer_traits.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/optional.hpp>
#include <string>

namespace plankledge::detail
{

//==============================================================================
/** A Beast body that takes memory for what has been received. Beast's string body allocates the announced
    length at once, which a client can announce without sending anything. */
struct IncrementalBody
{
    using value_type = std::string;
    using writer = boost::beast::http::string_body::writer;

    static std::uint64_t size (const value_type& body) { return body.size(); }

    class reader
    {
    public:
        template <bool isRequest, class Fields>
        reader (boost::beast::http::header<isRequest, Fields>&, value_type& body)
            : m_body (body)
        {
        }

        void init (const boost::optional<std::uint64_t>& length, boost::beast::error_code& error)
        {
            m_length = length;
            error = {};
        }

        template <class Buffers> std::size_t put (const Buffers& buffers, boost::beast::error_code& error)
        {
            const auto added = boost::beast::buffer_bytes (buffers);
            growCapacity (m_body, m_body.size() + added, m_length.value_or (0));

            for (const auto buffer : boost::beast::buffers_range_ref (buffers))
                m_body.append (static_cast<const char*> (buffer.data()), buffer.size());

            error = {};
            return added;
        }

        void finish (boost::beast::error_code& error) { error = {}; }

    private:
        value_type& m_body;
        boost::optional<std::uint64_t> m_length;
    };
};

} // namespace plankledge::detail
