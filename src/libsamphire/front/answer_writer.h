#ifndef FRONT_ANSWER_WRITER_H_
#define FRONT_ANSWER_WRITER_H_

#include <Poco/Net/HTTPServerResponse.h>

#include <string>
#include <string_view>

#include "front/answer_note.h"

namespace samphire {

// Sets the entry's own headers: result, run state, configuration version and,
// for a code that says so, the time to come back.
void SetNoteHeaders(Poco::Net::HTTPResponse& response, const answer_note& note);

// The whole answer of a request that the entry answers itself.
void WriteRefusal(Poco::Net::HTTPServerResponse& response,
                  const answer_note& note);
// The same as bytes, for a connection on which no request could be read.
std::string RenderRefusal(const answer_note& note);
void WriteBody(Poco::Net::HTTPServerResponse& response,
               std::string_view content_type,
               const std::string& body);

}  // namespace samphire

#endif  // FRONT_ANSWER_WRITER_H_
