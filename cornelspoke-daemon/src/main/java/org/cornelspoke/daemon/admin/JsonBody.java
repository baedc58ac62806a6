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
 * A JSON object in a request body. Tracks the fields that were read, so that unknown fields can be
 * rejected.
 */
final class JsonBody {

  private static final JsonMapper MAPPER =
      JsonMapper.builder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private final JsonNode node;
  private final String prefix;
  private final Set<String> accessedFields = new HashSet<>();

  private JsonBody(JsonNode node, String prefix) {
    this.node = node;
    this.prefix = prefix;
  }

  static JsonBody parse(byte[] bytes) throws ApiException {
    JsonNode node;
    try {
      node = MAPPER.readTree(bytes);
    } catch (JsonProcessingException e) {
      // The message of the parser is not used, because it quotes the body.
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
      throw invalid(field, "must be text");
    }
    return value.textValue();
  }

  <T> T textAs(String field, Function<String, T> factory) throws ApiException {
    String text = text(field);
    try {
      return factory.apply(text);
    } catch (IllegalArgumentException e) {
      throw invalid(field, e.getMessage());
    }
  }

  <E extends Enum<E>> E enumConstant(String field, Class<E> type) throws ApiException {
    String text = text(field);
    for (E constant : type.getEnumConstants()) {
      if (constant.name().equals(text)) {
        return constant;
      }
    }
    throw invalid(field, "unknown value");
  }

  double doubleValue(String field) throws ApiException {
    JsonNode value = required(field);
    if (!value.isNumber()) {
      throw invalid(field, "must be a number");
    }
    return value.doubleValue();
  }

  long longValue(String field) throws ApiException {
    JsonNode value = required(field);
    if (!value.isIntegralNumber() || !value.canConvertToLong()) {
      throw invalid(field, "must be a whole number");
    }
    return value.longValue();
  }

  int intValue(String field) throws ApiException {
    long value = longValue(field);
    if (value < Integer.MIN_VALUE || value > Integer.MAX_VALUE) {
      throw invalid(field, "must be a smaller number");
    }
    return (int) value;
  }

  int intValue(String field, int defaultValue) throws ApiException {
    accessedFields.add(field);
    return node.has(field) ? intValue(field) : defaultValue;
  }

  boolean booleanValue(String field) throws ApiException {
    JsonNode value = required(field);
    if (!value.isBoolean()) {
      throw invalid(field, "must be true or false");
    }
    return value.booleanValue();
  }

  JsonBody object(String field) throws ApiException {
    JsonNode value = required(field);
    if (!value.isObject()) {
      throw invalid(field, "must be an object");
    }
    return new JsonBody(value, prefix + field + ".");
  }

  void rejectUnknownFields() throws ApiException {
    for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
      String name = names.next();
      if (!accessedFields.contains(name)) {
        throw invalid(name, "unknown field");
      }
    }
  }

  private ApiException invalid(String field, String reason) {
    return ApiException.badRequest(prefix + field + ": " + reason);
  }

  private JsonNode required(String field) throws ApiException {
    accessedFields.add(field);
    JsonNode value = node.get(field);
    if (value == null || value.isNull()) {
      throw invalid(field, "missing; a value is required");
    }
    return value;
  }
}
