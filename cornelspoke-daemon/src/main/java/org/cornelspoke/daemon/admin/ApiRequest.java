package org.cornelspoke.daemon.admin;

import io.activej.csp.supplier.ChannelSupplier;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.RequestId;
import org.cornelspoke.model.Revision;

/** An administration request of an authenticated operator. */
final class ApiRequest {

  /** Maximum size of a request body. A preset, the largest entity, takes less than 2 KiB. */
  static final int MAX_BODY_BYTES = 64 * 1024;

  private static final HttpHeader REQUEST_ID = HttpHeaders.of("Request-Id");

  private final HttpRequest http;

  ApiRequest(HttpRequest http) {
    this.http = http;
  }

  OperatorId operator() {
    return http.getAttachment(OperatorId.class);
  }

  /** Returns the request id, by which a resent change is recognised. */
  RequestId requestId() throws ApiException {
    String text = http.getHeader(REQUEST_ID);
    if (text == null) {
      throw ApiException.badRequest("a change needs the header Request-Id");
    }
    return parseId(text, RequestId::new);
  }

  /** Returns the revision in the header {@code If-Match}; quotation marks are optional. */
  Optional<Revision> expectedRevision() throws ApiException {
    String text = http.getHeader(HttpHeaders.IF_MATCH);
    if (text == null) {
      return Optional.empty();
    }
    String digits = text.strip().replaceFirst("^\"(.*)\"$", "$1");
    if (!digits.matches("[0-9]{1,18}")) {
      throw ApiException.badRequest("If-Match must be a revision number");
    }
    return Optional.of(new Revision(Long.parseLong(digits)));
  }

  /** Returns the path parameter {@code id}. */
  <T> T pathId(Function<String, T> factory) throws ApiException {
    return parseId(http.getPathParameter("id"), factory);
  }

  /** Returns a query parameter that must be a non-negative integer. */
  OptionalLong queryNumber(String name) throws ApiException {
    String text = http.getQueryParameter(name);
    if (text == null) {
      return OptionalLong.empty();
    }
    if (!text.matches("[0-9]{1,18}")) {
      throw ApiException.badRequest(name + ": must be a whole number of 0 or more");
    }
    return OptionalLong.of(Long.parseLong(text));
  }

  /** Reads and parses the body; fails with status 413 if it is too large. */
  Promise<JsonBody> readBody() {
    return ChannelSupplier.collect(
        http.takeBodyStream(),
        new BoundedBody(),
        BoundedBody::append,
        body -> JsonBody.parse(body.bytes()));
  }

  private static <T> T parseId(String text, Function<String, T> factory) throws ApiException {
    try {
      return factory.apply(text);
    } catch (IllegalArgumentException e) {
      throw ApiException.badRequest(e.getMessage());
    }
  }
}
