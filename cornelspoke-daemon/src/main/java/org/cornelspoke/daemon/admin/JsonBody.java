package org.cornelspoke.daemon.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Set;
import java.util.function.Function;

/**
 * A JSON object of a request body. Remembers which fields were read, so that all others can be
 * refused.
 */
final class JsonBody {

  private static final JsonMapper MAPPER =
      JsonMapper.builder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private final JsonNode node;
  private final String prefix;
  private final Set<String> known = new HashSet<>();

  private JsonBody(JsonNode node, String prefix) {
    this.node = node;
    this.prefix = prefix;
  }

  static JsonBody parse(byte[] bytes) throws ApiException {
    JsonNode node;
    try {
      node = MAPPER.readTree(bytes);
    } catch (JsonProcessingException e) {
      // The parser's own text would repeat parts of the body.
      throw ApiException.badRequest("the body must be one JSON object");
    } catch (IOException e) {
      throw ApiException.badRequest("the body must be UTF-8 text");
    }
    if (!node.isObject()) {
      throw ApiException.badRequest("the body must be one JSON object");
    }
    return new JsonBody(node, "");
  }

  String text(String field) throws ApiException {
    JsonNode value = required(field);
    if (!value.isTextual()) {
      throw broken(field, "must be text");
    }
    return value.textValue();
  }

  <T> T id(String field, Function<String, T> factory) throws ApiException {
    String text = text(field);
    try {
      return factory.apply(text);
    } catch (IllegalArgumentException e) {
      throw broken(field, e.getMessage());
    }
  }

  <E extends Enum<E>> E choice(String field, Class<E> type) throws ApiException {
    String text = text(field);
    for (E constant : type.getEnumConstants()) {
      if (constant.name().equals(text)) {
        return constant;
      }
    }
    throw broken(field, "unknown value");
  }

  double number(String field) throws ApiException {
    JsonNode value = required(field);
    if (!value.isNumber()) {
      throw broken(field, "must be a number");
    }
    return value.doubleValue();
  }

  long integer(String field) throws ApiException {
    JsonNode value = required(field);
    if (!value.isIntegralNumber() || !value.canConvertToLong()) {
      throw broken(field, "must be a whole number");
    }
    return value.longValue();
  }

  int smallInteger(String field) throws ApiException {
    long value = integer(field);
    if (value < Integer.MIN_VALUE || value > Integer.MAX_VALUE) {
      throw broken(field, "must be a smaller number");
    }
    return (int) value;
  }

  int smallInteger(String field, int defaultValue) throws ApiException {
    known.add(field);
    return node.has(field) ? smallInteger(field) : defaultValue;
  }

  boolean flag(String field) throws ApiException {
    JsonNode value = required(field);
    if (!value.isBoolean()) {
      throw broken(field, "must be true or false");
    }
    return value.booleanValue();
  }

  JsonBody object(String field) throws ApiException {
    JsonNode value = required(field);
    if (!value.isObject()) {
      throw broken(field, "must be an object");
    }
    return new JsonBody(value, prefix + field + ".");
  }

  void refuseUnknownFields() throws ApiException {
    for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
      String name = names.next();
      if (!known.contains(name)) {
        throw broken(name, "unknown field");
      }
    }
  }

  private ApiException broken(String field, String rule) {
    return ApiException.badRequest(prefix + field + ": " + rule);
  }

  private JsonNode required(String field) throws ApiException {
    known.add(field);
    JsonNode value = node.get(field);
    if (value == null || value.isNull()) {
      throw broken(field, "missing; a value is required");
    }
    return value;
  }
}
