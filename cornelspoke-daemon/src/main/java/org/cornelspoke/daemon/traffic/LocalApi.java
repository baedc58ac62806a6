package org.cornelspoke.daemon.traffic;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Iterator;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.transport.http.HttpExchange;
import org.cornelspoke.transport.http.HttpHandler;
import org.cornelspoke.transport.http.HttpResponse;
import org.cornelspoke.util.Assert;

/** HTTP API through which an upstream announces itself, drains and withdraws. */
final class LocalApi implements HttpHandler {

  static final int MAX_BODY_BYTES = 16 << 10;

  private static final int MAX_SLOTS = 100_000;
  private static final long DEFAULT_LEASE_MILLIS = 10_000;
  private static final long MIN_LEASE_MILLIS = 100;
  private static final long MAX_LEASE_MILLIS = 600_000;
  private static final Set<String> ANNOUNCE_FIELDS =
      Set.of("service", "address", "slots", "leaseMillis");
  private static final Set<String> SERVICE_FIELDS = Set.of("service");

  private final UpstreamRegistration registration;
  private final ObjectMapper mapper =
      new ObjectMapper()
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY);

  LocalApi(UpstreamRegistration registration) {
    this.registration = registration;
  }

  @Override
  public void onRequest(HttpExchange exchange) {
    exchange.respond(responseTo(exchange));
  }

  private HttpResponse responseTo(HttpExchange exchange) {
    String path = exchange.head().path();
    if (!path.equals("/v1/announce") && !path.equals("/v1/drain") && !path.equals("/v1/withdraw")) {
      return HttpResponse.ofText(404, "path must be /v1/announce, /v1/drain or /v1/withdraw\n");
    }
    if (!exchange.head().method().equals("POST")) {
      return HttpResponse.ofText(405, "method must be POST\n");
    }
    try {
      JsonNode body = parse(exchange.body().toByteArray());
      return switch (path) {
        case "/v1/announce" -> announce(body);
        case "/v1/drain" -> toResponse(registration.drain(parseServiceName(body, SERVICE_FIELDS)));
        default -> toResponse(registration.withdraw(parseServiceName(body, SERVICE_FIELDS)));
      };
    } catch (IllegalArgumentException e) {
      return HttpResponse.ofText(400, replaceNonPrintable(e.getMessage()) + "\n");
    }
  }

  private HttpResponse announce(JsonNode body) {
    ServiceName service = parseServiceName(body, ANNOUNCE_FIELDS);
    JsonNode address = body.get("address");
    Assert.isTrue(address != null && address.isTextual(), "address must be a text ip:port");
    Endpoint endpoint = Endpoint.parse(address.textValue());
    // Upstreams listen on a fixed port, also after a restart; port 0 is not callable.
    Assert.isTrue(endpoint.port() > 0, "address must have a port above 0");
    long slots = parseNumber(body, "slots", -1, 1, MAX_SLOTS);
    long leaseMillis =
        parseNumber(body, "leaseMillis", DEFAULT_LEASE_MILLIS, MIN_LEASE_MILLIS, MAX_LEASE_MILLIS);
    if (!registration.announce(
        new Announcement(
            service, endpoint, (int) slots, leaseMillis, Optional.empty(), OptionalLong.empty()))) {
      return HttpResponse.ofText(503, "the daemon is stopping\n");
    }
    return HttpResponse.ofStatus(204);
  }

  private static HttpResponse toResponse(boolean known) {
    return known
        ? HttpResponse.ofStatus(204)
        : HttpResponse.ofText(400, "service must be announced\n");
  }

  private JsonNode parse(byte[] body) {
    try {
      JsonNode node = mapper.readTree(body);
      Assert.isTrue(node != null && node.isObject(), "body must be a JSON object");
      return node;
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("body must be JSON: " + e.getOriginalMessage(), e);
    } catch (IOException e) {
      throw new IllegalArgumentException("body must be JSON", e);
    }
  }

  private static ServiceName parseServiceName(JsonNode body, Set<String> allowedFields) {
    for (Iterator<String> names = body.fieldNames(); names.hasNext(); ) {
      String name = names.next();
      Assert.isTrue(allowedFields.contains(name), "unknown field: " + name);
    }
    JsonNode service = body.get("service");
    Assert.isTrue(service != null && service.isTextual(), "service must be a text");
    return new ServiceName(service.textValue());
  }

  private static long parseNumber(
      JsonNode body, String name, long defaultValue, long min, long max) {
    JsonNode node = body.get(name);
    if (node == null && defaultValue >= 0) {
      return defaultValue;
    }
    Assert.isTrue(
        node != null
            && node.isIntegralNumber()
            && node.canConvertToLong()
            && node.longValue() >= min
            && node.longValue() <= max,
        name + " must be a whole number between " + min + " and " + max);
    return node.longValue();
  }

  /** Replaces non-printable characters, which may stem from a malformed request. */
  private static String replaceNonPrintable(String message) {
    return message == null ? "malformed request" : message.replaceAll("[^ -~]", "?");
  }
}
