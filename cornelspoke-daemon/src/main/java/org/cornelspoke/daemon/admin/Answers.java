package org.cornelspoke.daemon.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.activej.http.HttpError;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import io.activej.http.MalformedHttpException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/** Builds the HTTP responses of the administration server. */
final class Answers {

  private static final Logger LOGGER = System.getLogger(Answers.class.getName());
  private static final JsonMapper MAPPER = JsonMapper.builder().build();

  private Answers() {}

  static HttpResponse json(int status, JsonNode body) {
    return builder(status, body).build();
  }

  /** Returns the response to a failure. The message of an unexpected exception is not exposed. */
  static HttpResponse ofException(Exception failure) {
    ApiException refusal;
    if (failure instanceof ApiException known) {
      refusal = known;
    } else if (failure instanceof BackendUnavailableException unavailable) {
      refusal = ApiException.unavailable(unavailable);
    } else if (failure instanceof HttpError error) {
      refusal = ofHttpError(error);
    } else if (failure instanceof MalformedHttpException) {
      refusal = ApiException.badRequest("malformed HTTP request");
    } else {
      LOGGER.log(Level.WARNING, "administration request failed", failure);
      refusal = ApiException.internal();
    }
    HttpResponse.Builder builder = builder(refusal.status(), refusal.body());
    if (refusal.retryAfterSeconds() > 0) {
      builder.withHeader(HttpHeaders.RETRY_AFTER, Integer.toString(refusal.retryAfterSeconds()));
    }
    if (refusal.status() == 401) {
      builder.withHeader(HttpHeaders.WWW_AUTHENTICATE, "Bearer");
    }
    return builder.build();
  }

  private static ApiException ofHttpError(HttpError error) {
    return switch (error.getCode()) {
      case 404 -> ApiException.notFound("no such path");
      case 413 -> ApiException.tooLarge(ApiRequest.MAX_BODY_BYTES);
      default -> ApiException.ofStatus(error.getCode(), "HTTP status " + error.getCode());
    };
  }

  private static HttpResponse.Builder builder(int status, JsonNode body) {
    HttpResponse.Builder builder = HttpResponse.ofCode(status);
    builder.withHeader(HttpHeaders.CONTENT_TYPE, "application/json");
    // Responses can contain account data, which caches between operator and daemon must not store.
    builder.withHeader(HttpHeaders.CACHE_CONTROL, "no-store");
    try {
      builder.withBody(MAPPER.writeValueAsBytes(body));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a JSON tree must be serializable", e);
    }
    return builder;
  }
}
