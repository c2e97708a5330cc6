#include "config/sections/parsed_file.hpp"

#include <confuse.h>

#include <cerrno>
#include <cstdarg>
#include <cstdio>
#include <cstring>
#include <optional>
#include <utility>

#include "config/operator_file_error.hpp"

namespace marblewharf::sections {
namespace {

struct syntax_fault {
  int line = 0;
  std::string text;
};

// The data that libconfuse's callbacks record during a parse. libconfuse passes no context to the callbacks,
// so they use a thread-local pointer, and each thread parses one file at a time.
struct parse_state {
  option_lines& lines;
  std::optional<syntax_fault> first_fault;
};
thread_local parse_state* current_parse = nullptr;

int record_line(cfg_t* parsed, cfg_opt_t* option) {
  current_parse->lines[option] = parsed->line;
  return 0;
}

[[gnu::format(printf, 2, 0)]] void record_fault(cfg_t* parsed, const char* format, va_list arguments) {
  if (current_parse->first_fault) return;
  constexpr std::size_t max_text_bytes = 512;
  char text[max_text_bytes];
  std::vsnprintf(text, sizeof text, format, arguments);
  current_parse->first_fault = {parsed != nullptr ? parsed->line : 0, text};
}

cfg_t* make_parser(const std::vector<schema>& schemas) {
  constexpr cfg_flag_t titled_flags = CFGF_MULTI | CFGF_TITLE | CFGF_NO_TITLE_DUPES;
  std::vector<cfg_opt_t> section_options;
  for (const schema& section_schema : schemas) {
    const cfg_flag_t flags = section_schema.titled ? titled_flags : CFGF_NODEFAULT;
    section_options.push_back(CFG_SEC(section_schema.name, section_schema.options, flags));
  }
  section_options.push_back(CFG_END());
  cfg_t* parser = cfg_init(section_options.data(), CFGF_NONE);  // copies the table
  cfg_set_error_function(parser, record_fault);
  for (const schema& section_schema : schemas) {
    for (const cfg_opt_t* option = section_schema.options; option->name != nullptr; ++option)
      cfg_set_validate_func(parser, (std::string(section_schema.name) + "|" + option->name).c_str(),
                            record_line);
  }
  return parser;
}

}  // namespace

void parsed_file::free_parsed::operator()(cfg_t* parsed) const {
  cfg_free(parsed);
}

parsed_file::parsed_file(std::string path, const std::vector<schema>& schemas)
    : path_(std::move(path)), parsed_(make_parser(schemas)) {
  parse_state parse{lines_, std::nullopt};
  current_parse = &parse;
  const int outcome = cfg_parse(parsed_.get(), path_.c_str());
  current_parse = nullptr;
  if (outcome == CFG_FILE_ERROR)
    throw operator_file_error({.file = path_,
                               .line = std::nullopt,
                               .key = {},
                               .problem = std::string("cannot be read: ") + std::strerror(errno),
                               .found = {}});
  if (outcome == CFG_SUCCESS) return;
  const syntax_fault fault = parse.first_fault.value_or(syntax_fault{0, "the file cannot be parsed"});
  throw operator_file_error(
      {.file = path_, .line = fault.line, .key = {}, .problem = fault.text, .found = {}});
}

bool parsed_file::has(const char* kind) const {
  return cfg_size(parsed_.get(), kind) > 0;
}

section parsed_file::get_section(const char* kind) const {
  return {cfg_getsec(parsed_.get(), kind), lines_, path_, kind};
}

void parsed_file::for_each(
    const char* kind,
    const std::function<void(const section& titled_section, const std::string& title)>& visit) const {
  for (unsigned index = 0; index < cfg_size(parsed_.get(), kind); ++index) {
    cfg_t* parsed = cfg_getnsec(parsed_.get(), kind, index);
    const std::string title = cfg_title(parsed);
    visit(section(parsed, lines_, path_, std::string(kind) + " \"" + title + "\""), title);
  }
}

void parsed_file::fail(const char* kind, const std::string& problem) const {
  throw operator_file_error({.file = path_, .line = 0, .key = kind, .problem = problem, .found = {}});
}

}  // namespace marblewharf::sections
