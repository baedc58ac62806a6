package org.cornelspoke.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.model.Endpoint;

/**
 * Sends requests to the administration API. Tries one endpoint after the other until one gives a
 * final answer or the time is over. A change keeps its request id in every attempt, so that it is
 * applied at most once.
 *
 * <p>Not safe for use by several threads.
 */
final class ApiClient {

  private static final int MIN_ATTEMPT_MILLIS = 100;
  private static final int PAUSE_BETWEEN_ROUNDS_MILLIS = 250;
  private static final JsonMapper MAPPER = JsonMapper.builder().build();

  private final HttpClient http;
  private final List<Endpoint> endpoints;
  private final String token;
  private final int timeoutMillis;

  ApiClient(List<Endpoint> endpoints, String token, int timeoutMillis) {
    this.endpoints = List.copyOf(endpoints);
    this.token = token;
    this.timeoutMillis = timeoutMillis;
    this.http =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            // A proxy would see the operator's token.
            .proxy(HttpClient.Builder.NO_PROXY)
            .connectTimeout(attemptTimeout())
            .build();
  }

  /** Reads a path below {@code /v1/}. */
  JsonNode read(String path) throws CommandException {
    return send(new Call("GET", path, Optional.empty(), Optional.empty(), Optional.empty()));
  }

  /** Sends a change and returns the answer that accepts it. */
  JsonNode change(Call call) throws CommandException {
    return send(call);
  }

  /** Returns a client that sends another token. */
  ApiClient withToken(String otherToken) {
    return new ApiClient(endpoints, otherToken, timeoutMillis);
  }

  private JsonNode send(Call call) throws CommandException {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    Progress progress = new Progress();
    do {
      for (Endpoint endpoint : endpoints) {
        Optional<JsonNode> answer = attempt(call, endpoint, progress);
        if (answer.isPresent()) {
          return answer.get();
        }
        if (System.nanoTime() >= deadline) {
          break;
        }
      }
      pause(deadline);
    } while (System.nanoTime() < deadline);
    throw progress.timeout(call);
  }

  private Optional<JsonNode> attempt(Call call, Endpoint endpoint, Progress progress)
      throws CommandException {
    HttpResponse<String> response;
    try {
      response = http.send(request(call, endpoint), BodyHandlers.ofString());
    } catch (ConnectException | HttpConnectTimeoutException e) {
      progress.cause = endpoint + " can't be reached";
      return Optional.empty();
    } catch (IOException e) {
      progress.cause = endpoint + " did not answer";
      progress.mayBeApplied = true;
      return Optional.empty();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      progress.mayBeApplied = true;
      progress.cause = "interrupted";
      throw progress.timeout(call);
    }
    JsonNode body = parse(response.body());
    int status = response.statusCode();
    if (status / 100 == 2) {
      return Optional.of(body);
    }
    if (status >= 500) {
      String error = body.path("error").asText();
      progress.cause = endpoint + ": " + body.path("message").asText("HTTP status " + status);
      progress.mayBeApplied |= !error.equals("unavailable");
      return Optional.empty();
    }
    throw refusal(status, body, progress);
  }

  private HttpRequest request(Call call, Endpoint endpoint) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create("http://" + authority(endpoint) + "/v1/" + call.path()))
            .timeout(attemptTimeout())
            .header("Authorization", "Bearer " + token);
    call.requestId().ifPresent(id -> builder.header("Request-Id", id));
    call.revision().ifPresent(revision -> builder.header("If-Match", "\"" + revision + "\""));
    return builder
        .method(
            call.method(),
            call.body()
                .map(body -> BodyPublishers.ofString(body.toString()))
                .orElse(BodyPublishers.noBody()))
        .build();
  }

  /** Returns the time for one attempt, so that one silent endpoint leaves time for the others. */
  private Duration attemptTimeout() {
    int share = timeoutMillis / (endpoints.size() + 1);
    return Duration.ofMillis(Math.max(MIN_ATTEMPT_MILLIS, share));
  }

  private static String authority(Endpoint endpoint) {
    return endpoint.ip().contains(":")
        ? "[" + endpoint.ip() + "]:" + endpoint.port()
        : endpoint.toString();
  }

  private static JsonNode parse(String body) {
    try {
      return MAPPER.readTree(body);
    } catch (JsonProcessingException e) {
      return MAPPER.createObjectNode();
    }
  }

  private static CommandException refusal(int status, JsonNode body, Progress progress) {
    ObjectNode json =
        body.isObject() ? (ObjectNode) body : MAPPER.createObjectNode().put("error", "http");
    String message = json.path("message").asText("HTTP status " + status);
    int exitCode =
        switch (status) {
          case 401 -> ExitCodes.NOT_AUTHORISED;
          case 409 -> ExitCodes.CONFLICT;
          default -> ExitCodes.REFUSED;
        };
    if (status == 409) {
      JsonNode winner = json.path("winner");
      if (winner.isObject()) {
        message +=
            "; revision "
                + winner.path("revision").asText()
                + " was made by "
                + winner.path("operator").asText()
                + ": "
                + winner.path("action").asText()
                + " "
                + winner.path("entity").asText();
      }
    } else if (status == 401 && progress.mayBeApplied) {
      message += "; an earlier attempt may have been applied";
    }
    return new CommandException(exitCode, message, json);
  }

  private static void pause(long deadline) {
    long left = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
    try {
      Thread.sleep(Math.max(0, Math.min(PAUSE_BETWEEN_ROUNDS_MILLIS, left)));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** What is known after the attempts so far. */
  private static final class Progress {

    private boolean mayBeApplied;
    private String cause = "";

    CommandException timeout(Call call) {
      ObjectNode json = MAPPER.createObjectNode();
      String message;
      if (call.requestId().isEmpty()) {
        json.put("error", "unreachable");
        message = "no answer: " + cause;
      } else if (mayBeApplied) {
        json.put("error", "outcome-unknown");
        message = "the change may or may not be applied: " + cause;
      } else {
        json.put("error", "unreachable");
        message = "the change is not applied: " + cause;
      }
      json.put("message", message);
      call.requestId().ifPresent(id -> json.put("requestId", id));
      String resend = call.requestId().map(id -> "; resend with --request-id " + id).orElse("");
      return new CommandException(ExitCodes.UNREACHABLE, message + resend, json);
    }
  }

  /**
   * One request.
   *
   * @param path path below {@code /v1/}, with the query
   * @param requestId present for changes
   * @param revision revision that the change is based on
   */
  record Call(
      String method,
      String path,
      Optional<JsonNode> body,
      Optional<String> requestId,
      Optional<Long> revision) {}
}
