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
 * Client of the administration API. Tries the endpoints in turn until one returns a final response
 * or the timeout expires. Every attempt of a change carries the same request id, so that the change
 * is applied at most once.
 *
 * <p>Not thread-safe.
 */
final class ApiClient {

  private static final int MIN_ATTEMPT_TIMEOUT_MILLIS = 100;
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
            // A proxy would see the operator's token, which is sent in plain HTTP.
            .proxy(HttpClient.Builder.NO_PROXY)
            .connectTimeout(attemptTimeout())
            .build();
  }

  /** Reads the resource at a path below {@code /v1/}. */
  JsonNode read(String path) throws CommandException {
    return send(new ApiRequest("GET", path, Optional.empty(), Optional.empty(), Optional.empty()));
  }

  /** Sends a change and returns the response that accepts it. */
  JsonNode submitChange(ApiRequest apiRequest) throws CommandException {
    return send(apiRequest);
  }

  /** Returns a client for the same endpoints that authenticates with the given token. */
  ApiClient withToken(String newToken) {
    return new ApiClient(endpoints, newToken, timeoutMillis);
  }

  private JsonNode send(ApiRequest apiRequest) throws CommandException {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    AttemptHistory history = new AttemptHistory();
    do {
      for (Endpoint endpoint : endpoints) {
        Optional<JsonNode> response = attempt(apiRequest, endpoint, history);
        if (response.isPresent()) {
          return response.get();
        }
        if (System.nanoTime() >= deadlineNanos) {
          break;
        }
      }
      pauseBeforeNextRound(deadlineNanos);
    } while (System.nanoTime() < deadlineNanos);
    throw history.toException(apiRequest);
  }

  private Optional<JsonNode> attempt(
      ApiRequest apiRequest, Endpoint endpoint, AttemptHistory history) throws CommandException {
    HttpResponse<String> response;
    try {
      response = http.send(buildRequest(apiRequest, endpoint), BodyHandlers.ofString());
    } catch (ConnectException | HttpConnectTimeoutException e) {
      history.lastFailure = endpoint + " can't be reached";
      return Optional.empty();
    } catch (IOException e) {
      history.lastFailure = endpoint + " did not answer";
      history.mayBeApplied = true;
      return Optional.empty();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      history.mayBeApplied = true;
      history.lastFailure = "interrupted";
      throw history.toException(apiRequest);
    }
    JsonNode body = parse(response.body());
    int status = response.statusCode();
    if (status / 100 == 2) {
      return Optional.of(body);
    }
    if (status >= 500) {
      String error = body.path("error").asText();
      history.lastFailure = endpoint + ": " + body.path("message").asText("HTTP status " + status);
      history.mayBeApplied |= !error.equals("unavailable");
      return Optional.empty();
    }
    throw toRefusal(status, body, history);
  }

  private HttpRequest buildRequest(ApiRequest apiRequest, Endpoint endpoint) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(
                URI.create("http://" + authority(endpoint) + "/v1/" + apiRequest.path()))
            .timeout(attemptTimeout())
            .header("Authorization", "Bearer " + token);
    apiRequest.requestId().ifPresent(id -> builder.header("Request-Id", id));
    apiRequest.revision().ifPresent(revision -> builder.header("If-Match", "\"" + revision + "\""));
    return builder
        .method(
            apiRequest.method(),
            apiRequest
                .body()
                .map(body -> BodyPublishers.ofString(body.toString()))
                .orElse(BodyPublishers.noBody()))
        .build();
  }

  /** Returns the timeout of one attempt, so that a silent endpoint leaves time for the others. */
  private Duration attemptTimeout() {
    int attemptMillis = timeoutMillis / (endpoints.size() + 1);
    return Duration.ofMillis(Math.max(MIN_ATTEMPT_TIMEOUT_MILLIS, attemptMillis));
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

  private static CommandException toRefusal(int status, JsonNode body, AttemptHistory history) {
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
      JsonNode winningChange = json.path("winner");
      if (winningChange.isObject()) {
        message +=
            "; revision "
                + winningChange.path("revision").asText()
                + " was made by "
                + winningChange.path("operator").asText()
                + ": "
                + winningChange.path("action").asText()
                + " "
                + winningChange.path("entity").asText();
      }
    } else if (status == 401 && history.mayBeApplied) {
      message += "; an earlier attempt may have been applied";
    }
    return new CommandException(exitCode, message, json);
  }

  private static void pauseBeforeNextRound(long deadlineNanos) {
    long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
    try {
      Thread.sleep(Math.max(0, Math.min(PAUSE_BETWEEN_ROUNDS_MILLIS, remainingMillis)));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Outcome of the attempts so far. */
  private static final class AttemptHistory {

    private boolean mayBeApplied;
    private String lastFailure = "";

    CommandException toException(ApiRequest apiRequest) {
      ObjectNode json = MAPPER.createObjectNode();
      String message;
      if (apiRequest.requestId().isEmpty()) {
        json.put("error", "unreachable");
        message = "no answer: " + lastFailure;
      } else if (mayBeApplied) {
        json.put("error", "outcome-unknown");
        message = "the change may or may not be applied: " + lastFailure;
      } else {
        json.put("error", "unreachable");
        message = "the change is not applied: " + lastFailure;
      }
      json.put("message", message);
      apiRequest.requestId().ifPresent(id -> json.put("requestId", id));
      String resend =
          apiRequest.requestId().map(id -> "; resend with --request-id " + id).orElse("");
      return new CommandException(ExitCodes.UNREACHABLE, message + resend, json);
    }
  }

  /**
   * A request to the administration API.
   *
   * @param path path below {@code /v1/}, including the query string
   * @param requestId idempotency key; present for changes only
   * @param revision configuration revision that the change requires; empty for any
   */
  record ApiRequest(
      String method,
      String path,
      Optional<JsonNode> body,
      Optional<String> requestId,
      Optional<Long> revision) {}
}
