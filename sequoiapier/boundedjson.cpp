// JSON text is first scanned for brackets outside of strings, which costs little compared with
// parsing. CBOR has no such delimiters, so it is parsed twice, first with a SAX handler that builds
// no values. O(n).
#include "sequoiapier/boundedjson.h"

#include <string>

namespace sequoiapier {

namespace {

using nlohmann::json;

// Calls `visit` for each character outside of strings until it returns false. Returns false then.
template<typename Visit>
bool visitStructure(std::string_view text, Visit visit)
{
    bool isInString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (isInString) {
            if (c == '\\')
                ++i; // the escaped character
            else if (c == '"')
                isInString = false;
        } else if (c == '"') {
            isInString = true;
        } else if (!visit(c)) {
            return false;
        }
    }
    return true;
}

bool isWithinDepth(std::string_view text)
{
    int depth = 0;
    return visitStructure(text, [&depth](char c) {
        if (c == ']' || c == '}')
            --depth;
        return (c != '[' && c != '{') || ++depth <= MaxJsonDepth;
    });
}

// SAX handler that stops the parser at the first container that is nested too deeply.
class DepthCheck : public nlohmann::json_sax<json>
{
public:
    bool null() override { return true; }
    bool boolean(bool /*value*/) override { return true; }
    bool number_integer(number_integer_t /*value*/) override { return true; }
    bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
    bool number_float(number_float_t /*value*/, const string_t & /*text*/) override { return true; }
    bool string(string_t & /*value*/) override { return true; }
    bool binary(binary_t & /*value*/) override { return true; }
    bool key(string_t & /*value*/) override { return true; }
    bool start_object(std::size_t /*size*/) override { return ++m_depth <= MaxJsonDepth; }
    bool start_array(std::size_t /*size*/) override { return ++m_depth <= MaxJsonDepth; }
    bool end_object() override { return exitContainer(); }
    bool end_array() override { return exitContainer(); }
    bool parse_error(std::size_t /*position*/, const std::string & /*token*/,
                     const nlohmann::detail::exception & /*exception*/) override
    {
        return false;
    }

private:
    bool exitContainer()
    {
        --m_depth;
        return true;
    }

    int m_depth = 0;
};

} // namespace

json parseJson(std::string_view text)
{
    if (!isWithinDepth(text))
        return json(json::value_t::discarded);
    return json::parse(text, nullptr, false);
}

// Every value but the first follows a comma or opens a container.
std::size_t countJsonValues(std::string_view text)
{
    std::size_t count = 1;
    visitStructure(text, [&count](char c) {
        if (c == ',' || c == '[' || c == '{')
            ++count;
        return true;
    });
    return count;
}

json parseCbor(std::string_view bytes)
{
    DepthCheck check;
    if (!json::sax_parse(bytes, &check, json::input_format_t::cbor))
        return json(json::value_t::discarded);
    return json::from_cbor(bytes, true, false);
}

} // namespace sequoiapier
