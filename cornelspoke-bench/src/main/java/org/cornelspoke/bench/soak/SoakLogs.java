package org.cornelspoke.bench.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.cornelspoke.bench.load.AttemptRecord;
import org.cornelspoke.bench.load.LoadPlan;
import org.cornelspoke.bench.upstream.RequestEvent;

/**
 * Everything that a soak run leaves behind.
 *
 * @param audit the answer of {@code cornelspokectl audit --json}
 * @param config the answer of {@code cornelspokectl config show}
 */
record SoakLogs(
    LoadPlan plan,
    List<AttemptRecord> attempts,
    List<RequestEvent> events,
    List<SoakChange> changes,
    JsonNode audit,
    JsonNode config) {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  /**
   * Reads the files of a run folder.
   *
   * @throws IOException if a file is missing or malformed, except for the last line of a stand-in's
   *     log, which a killed process may have left incomplete
   */
  static SoakLogs read(Path folder) throws IOException {
    List<RequestEvent> events = new ArrayList<>();
    for (Path file : requestLogs(folder)) {
      readLines(file, RequestEvent.class, events);
    }
    List<AttemptRecord> attempts = new ArrayList<>();
    readLines(folder.resolve("attempts.jsonl"), AttemptRecord.class, attempts);
    List<SoakChange> changes =
        Files.readAllLines(folder.resolve("changes.tsv")).stream().map(SoakChange::parse).toList();
    return new SoakLogs(
        MAPPER.readValue(folder.resolve("load-plan.json").toFile(), LoadPlan.class),
        attempts,
        events,
        changes,
        MAPPER.readTree(folder.resolve("audit.json").toFile()),
        MAPPER.readTree(folder.resolve("config.json").toFile()));
  }

  /** Returns the attempts by their request id. */
  Map<String, AttemptRecord> attemptsById() {
    Map<String, AttemptRecord> byId = new LinkedHashMap<>();
    attempts.forEach(attempt -> byId.put(attempt.requestId(), attempt));
    return byId;
  }

  /** Returns the events of requests from outside that began to run. */
  List<RequestEvent> rootStarts() {
    return events.stream()
        .filter(event -> event.kind() == RequestEvent.Kind.STARTED && event.isRoot())
        .toList();
  }

  private static List<Path> requestLogs(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files
          .filter(file -> file.getFileName().toString().matches("requests-.*\\.jsonl"))
          .sorted()
          .toList();
    }
  }

  private static <T> void readLines(Path file, Class<T> type, List<T> target) throws IOException {
    try (BufferedReader reader = Files.newBufferedReader(file)) {
      String line = reader.readLine();
      while (line != null) {
        String next = reader.readLine();
        if (next != null || line.endsWith("}")) {
          target.add(MAPPER.readValue(line, type));
        }
        line = next;
      }
    }
  }
}
