package org.cornelspoke.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Prints answers as aligned tables for people or as JSON for programs. */
final class Console {

  private static final JsonMapper MAPPER = JsonMapper.builder().build();
  private static final String GAP = "  ";

  private final PrintStream out;
  private final boolean json;

  Console(PrintStream out, boolean json) {
    this.out = out;
    this.json = json;
  }

  boolean json() {
    return json;
  }

  void line(String text) {
    out.println(text);
  }

  void printJson(JsonNode node) {
    try {
      out.println(MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(node));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a JSON tree can always be written", e);
    }
  }

  /** Prints one line for each item; {@code columns} are header and field in turn. */
  void table(JsonNode items, String... columns) {
    List<List<String>> rows = new ArrayList<>();
    List<String> header = new ArrayList<>();
    boolean[] numeric = new boolean[columns.length / 2];
    for (int i = 0; i < columns.length; i += 2) {
      header.add(columns[i]);
    }
    rows.add(header);
    for (JsonNode item : items) {
      List<String> row = new ArrayList<>();
      for (int i = 1; i < columns.length; i += 2) {
        JsonNode value = item.at("/" + columns[i]);
        numeric[i / 2] |= value.isNumber();
        row.add(value.isMissingNode() || value.isNull() ? "-" : number(value));
      }
      rows.add(row);
    }
    print(rows, numeric);
  }

  private void print(List<List<String>> rows, boolean[] numeric) {
    int[] widths = new int[numeric.length];
    for (List<String> row : rows) {
      for (int i = 0; i < widths.length; i++) {
        widths[i] = Math.max(widths[i], row.get(i).length());
      }
    }
    for (List<String> row : rows) {
      StringBuilder line = new StringBuilder();
      for (int i = 0; i < widths.length; i++) {
        String padding = " ".repeat(widths[i] - row.get(i).length());
        line.append(i == 0 ? "" : GAP);
        line.append(numeric[i] ? padding + row.get(i) : row.get(i) + padding);
      }
      out.println(line.toString().stripTrailing());
    }
  }

  private static String number(JsonNode value) {
    String text = value.asText();
    return value.isDouble() && text.endsWith(".0") ? text.substring(0, text.length() - 2) : text;
  }
}
