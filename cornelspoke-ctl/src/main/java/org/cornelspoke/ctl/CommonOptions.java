package org.cornelspoke.ctl;

import com.beust.jcommander.Parameter;
import com.google.common.net.InetAddresses;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.RequestId;

/** Options that every command accepts, before or after its name. */
final class CommonOptions {

  static final String ENDPOINTS_VARIABLE = "CORNELSPOKE_ENDPOINTS";
  static final String TOKEN_VARIABLE = "CORNELSPOKE_TOKEN";

  @Parameter(
      names = "--endpoints",
      description =
          "Administration addresses ip:port,... of control daemons (or CORNELSPOKE_ENDPOINTS)")
  private String endpoints;

  @Parameter(
      names = "--token-file",
      description = "File with the operator's token (or CORNELSPOKE_TOKEN)")
  private String tokenFile;

  @Parameter(names = "--json", description = "Print JSON instead of tables")
  private boolean jsonOutput;

  @Parameter(
      names = "--request-id",
      description = "Id of the change; a resend with the same id gets the first answer")
  private String requestId;

  @Parameter(
      names = "--revision",
      description = "Refuse the change unless this is the current configuration revision")
  private Long revision;

  @Parameter(
      names = "--timeout-millis",
      description = "Longest time for the command over all endpoints, in milliseconds")
  private int timeoutMillis = 10_000;

  @Parameter(names = "--help", help = true, description = "Print this text")
  private boolean helpRequested;

  private final Map<String, String> environment;
  private final String generatedRequestId = UUID.randomUUID().toString();

  CommonOptions(Map<String, String> environment) {
    this.environment = environment;
  }

  boolean isJsonOutput() {
    return jsonOutput;
  }

  boolean isHelpRequested() {
    return helpRequested;
  }

  Long revision() throws CommandException {
    if (revision != null && revision < 0) {
      throw CommandException.usage("--revision: must be 0 or more");
    }
    return revision;
  }

  boolean hasExplicitRequestId() {
    return requestId != null;
  }

  String requestId() throws CommandException {
    if (requestId == null) {
      return generatedRequestId;
    }
    try {
      return new RequestId(requestId).value();
    } catch (IllegalArgumentException e) {
      throw CommandException.usage("--request-id: " + e.getMessage());
    }
  }

  int timeoutMillis() throws CommandException {
    if (timeoutMillis < 1) {
      throw CommandException.usage("--timeout-millis: must be 1 or more");
    }
    return timeoutMillis;
  }

  List<Endpoint> endpoints() throws CommandException {
    String text = endpoints == null ? environment.get(ENDPOINTS_VARIABLE) : endpoints;
    String name = endpoints == null ? ENDPOINTS_VARIABLE : "--endpoints";
    if (text == null || text.isBlank()) {
      throw CommandException.usage(
          "--endpoints: missing; give ip:port,... or set " + ENDPOINTS_VARIABLE);
    }
    List<Endpoint> parsed = new ArrayList<>();
    for (String item : text.split(",", -1)) {
      String trimmed = item.strip();
      int colon = trimmed.lastIndexOf(':');
      if (colon <= 0 || !InetAddresses.isInetAddress(trimmed.substring(0, colon))) {
        throw CommandException.usage(name + ": must have the form ip:port: " + trimmed);
      }
      try {
        parsed.add(Endpoint.parse(trimmed));
      } catch (IllegalArgumentException e) {
        throw CommandException.usage(name + ": " + e.getMessage());
      }
    }
    return parsed;
  }

  String token() throws CommandException {
    String token = tokenFile == null ? environment.get(TOKEN_VARIABLE) : readTokenFile();
    if (token == null || token.isBlank()) {
      throw CommandException.usage("--token-file: missing; give a file or set " + TOKEN_VARIABLE);
    }
    String stripped = token.strip();
    // The error message must not contain the token.
    if (!stripped.chars().allMatch(c -> c > ' ' && c < 127)) {
      throw CommandException.usage("the token must be one word of printable ASCII characters");
    }
    return stripped;
  }

  private String readTokenFile() throws CommandException {
    try {
      return Files.readString(Path.of(tokenFile), StandardCharsets.UTF_8);
    } catch (IOException | InvalidPathException e) {
      throw CommandException.usage("--token-file: can't be read: " + tokenFile);
    }
  }
}
