#pragma once

#include "plankledge_core/Identity.h"
#include "plankledge_runtime/Http.h"
#include "plankledge_runtime/SharedBody.h"
#include <boost/beast/http.hpp>

/** Converts between this module's HTTP types and those of Boost.Beast. Internal to the HTTP clients. */
namespace plankledge
{

/** @returns the Beast message for a request, with Host and Content-Length set */
boost::beast::http::request<detail::SharedBody> toMessage (HttpRequest request, const Endpoint& endpoint);

/** @returns the response that a complete Beast message holds */
HttpResponse toResponse (boost::beast::http::response<boost::beast::http::string_body> message);

} // namespace plankledge
