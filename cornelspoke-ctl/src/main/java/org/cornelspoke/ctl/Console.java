package org.cornelspoke.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Prints responses as aligned tables or as JSON. */
final class Console {

  private static final JsonMapper MAPPER = JsonMapper.builder().build();
  private static final String COLUMN_SEPARATOR = "  ";

  private final PrintStream out;
  private final boolean jsonOutput;

  Console(PrintStream out, boolean jsonOutput) {
    this.out = out;
    this.jsonOutput = jsonOutput;
  }

  boolean isJsonOutput() {
    return jsonOutput;
  }

  void printLine(String text) {
    out.println(text);
  }

  void printJson(JsonNode node) {
    try {
      out.println(MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(node));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a JSON tree can always be written", e);
    }
  }

  /** Prints one row per item; {@code columns} alternates between headers and JSON field names. */
  void printTable(JsonNode items, String... columns) {
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
        row.add(value.isMissingNode() || value.isNull() ? "-" : formatValue(value));
      }
      rows.add(row);
    }
    printRows(rows, numeric);
  }

  private void printRows(List<List<String>> rows, boolean[] numeric) {
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
        line.append(i == 0 ? "" : COLUMN_SEPARATOR);
        line.append(numeric[i] ? padding + row.get(i) : row.get(i) + padding);
      }
      out.println(line.toString().stripTrailing());
    }
  }

  private static String formatValue(JsonNode value) {
    String text = value.asText();
    return value.isDouble() && text.endsWith(".0") ? text.substring(0, text.length() - 2) : text;
  }
}
