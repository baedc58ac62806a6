package org.cornelspoke.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cornelspoke.daemon.admin.FakeAdminBackend;

/** Runs command lines in this JVM and captures their output. */
final class ToolRunner {

  private final Map<String, String> environment;

  ToolRunner(String endpoints) {
    this(endpoints, FakeAdminBackend.TOKEN);
  }

  ToolRunner(String endpoints, String token) {
    this.environment =
        Map.of(CommonOptions.ENDPOINTS_VARIABLE, endpoints, CommonOptions.TOKEN_VARIABLE, token);
  }

  /** Runs a command line; {@code words} are separated by single spaces. */
  Result run(String words, String... more) {
    List<String> args = new ArrayList<>(List.of(words.split(" ")));
    args.addAll(List.of(more));
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    CommandLine line =
        new CommandLine(
            environment,
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8));
    int exitCode = line.run(args.toArray(String[]::new));
    return new Result(
        exitCode, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
  }

  /** Exit code and output of a command line. */
  record Result(int exitCode, String out, String err) {

    JsonNode json() throws Exception {
      return new JsonMapper().readTree(out);
    }
  }
}
