package org.cornelspoke.daemon.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Ascii;
import com.google.common.net.InetAddresses;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.cornelspoke.model.Endpoint;

/**
 * A JSON object in a settings file together with its path. Tracks the fields that were read, so
 * that unknown fields can be rejected.
 */
final class SettingsObject {

  private static final List<String> UNIT_SUFFIXES =
      List.of("Millis", "Seconds", "Nanos", "Bytes", "Kib", "Mib");

  private final JsonNode node;
  private final String prefix;
  private final boolean portZeroAllowed;
  private final Set<String> accessedFields = new HashSet<>();

  private SettingsObject(JsonNode node, String prefix, boolean portZeroAllowed) {
    this.node = node;
    this.prefix = prefix;
    this.portZeroAllowed = portZeroAllowed;
  }

  static SettingsObject root(JsonNode node, boolean portZeroAllowed) throws SettingsException {
    if (!node.isObject()) {
      throw new SettingsException("$", "must be a JSON object");
    }
    return new SettingsObject(node, "", portZeroAllowed);
  }

  SettingsException invalid(String field, String reason) {
    return new SettingsException(prefix + field, reason);
  }

  String text(String field) throws SettingsException {
    return checkText(field, required(field));
  }

  <T> T textAs(String field, Function<String, T> factory) throws SettingsException {
    String value = text(field);
    try {
      return factory.apply(value);
    } catch (IllegalArgumentException e) {
      throw invalid(field, e.getMessage());
    }
  }

  Endpoint endpoint(String field) throws SettingsException {
    return checkEndpoint(field, required(field));
  }

  List<Endpoint> endpoints(String field) throws SettingsException {
    JsonNode array = array(field, required(field));
    List<Endpoint> endpoints = new ArrayList<>();
    for (int i = 0; i < array.size(); i++) {
      endpoints.add(checkEndpoint(field + "[" + i + "]", array.get(i)));
    }
    return endpoints;
  }

  int intValue(String field, int defaultValue, int min, int max) throws SettingsException {
    JsonNode value = optional(field);
    if (value == null) {
      return defaultValue;
    }
    if (!value.isIntegralNumber()) {
      throw invalid(field, "must be a whole number without a unit, not " + describe(value));
    }
    if (!value.canConvertToInt() || value.intValue() < min || value.intValue() > max) {
      throw invalid(field, "must be between " + min + " and " + max);
    }
    return value.intValue();
  }

  double doubleValue(String field, double defaultValue, double min, double max)
      throws SettingsException {
    JsonNode value = optional(field);
    if (value == null) {
      return defaultValue;
    }
    if (!value.isNumber()) {
      throw invalid(field, "must be a number without a unit, not " + describe(value));
    }
    if (!(value.doubleValue() >= min && value.doubleValue() <= max)) {
      throw invalid(field, "must be between " + min + " and " + max);
    }
    return value.doubleValue();
  }

  boolean booleanValue(String field, boolean defaultValue) throws SettingsException {
    JsonNode value = optional(field);
    if (value == null) {
      return defaultValue;
    }
    if (!value.isBoolean()) {
      throw invalid(field, "must be true or false, not " + describe(value));
    }
    return value.booleanValue();
  }

  <E extends Enum<E>> E enumConstant(String field, Class<E> type, E defaultValue)
      throws SettingsException {
    JsonNode value = optional(field);
    if (value == null) {
      return defaultValue;
    }
    E[] constants = type.getEnumConstants();
    for (E constant : constants) {
      if (value.isTextual() && value.textValue().equals(Ascii.toLowerCase(constant.name()))) {
        return constant;
      }
    }
    throw invalid(
        field,
        Arrays.stream(constants)
            .map(constant -> "\"" + Ascii.toLowerCase(constant.name()) + "\"")
            .collect(Collectors.joining(", ", "must be one of ", "")));
  }

  Optional<SettingsObject> object(String field) throws SettingsException {
    JsonNode value = optional(field);
    if (value == null) {
      return Optional.empty();
    }
    return Optional.of(child(field, value));
  }

  List<SettingsObject> objects(String field) throws SettingsException {
    JsonNode array = array(field, required(field));
    List<SettingsObject> objects = new ArrayList<>();
    for (int i = 0; i < array.size(); i++) {
      objects.add(child(field + "[" + i + "]", array.get(i)));
    }
    return objects;
  }

  /** Rejects equal addresses in one process, except with port 0, which selects a free port. */
  void rejectDuplicateAddresses(String... fields) throws SettingsException {
    Map<Endpoint, String> fieldByAddress = new HashMap<>();
    for (String field : fields) {
      Endpoint endpoint = endpoint(field);
      String otherField = endpoint.port() == 0 ? null : fieldByAddress.put(endpoint, field);
      if (otherField != null) {
        throw invalid(field, "must differ from " + prefix + otherField);
      }
    }
  }

  void rejectUnknownFields() throws SettingsException {
    for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
      String name = names.next();
      if (!accessedFields.contains(name)) {
        throw invalid(name, "unknown field" + suggestion(name));
      }
    }
  }

  private String suggestion(String name) {
    return accessedFields.stream()
        .filter(
            field ->
                field.equalsIgnoreCase(name)
                    || withoutUnitSuffix(field).equals(withoutUnitSuffix(name)))
        .findFirst()
        .map(field -> "; did you mean " + prefix + field + "?")
        .orElse("");
  }

  private static String withoutUnitSuffix(String name) {
    for (String suffix : UNIT_SUFFIXES) {
      if (name.endsWith(suffix)) {
        return name.substring(0, name.length() - suffix.length());
      }
    }
    return name;
  }

  private JsonNode optional(String field) throws SettingsException {
    accessedFields.add(field);
    JsonNode value = node.get(field);
    if (value != null && value.isNull()) {
      throw invalid(field, "must not be null; leave the field out for its default");
    }
    return value;
  }

  private JsonNode required(String field) throws SettingsException {
    JsonNode value = optional(field);
    if (value == null) {
      throw invalid(field, "missing; a value is required");
    }
    return value;
  }

  private JsonNode array(String field, JsonNode value) throws SettingsException {
    if (!value.isArray()) {
      throw invalid(field, "must be a list, not " + describe(value));
    }
    return value;
  }

  private SettingsObject child(String field, JsonNode value) throws SettingsException {
    if (!value.isObject()) {
      throw invalid(field, "must be an object, not " + describe(value));
    }
    return new SettingsObject(value, prefix + field + ".", portZeroAllowed);
  }

  private String checkText(String field, JsonNode value) throws SettingsException {
    if (!value.isTextual()) {
      throw invalid(field, "must be text, not " + describe(value));
    }
    if (value.textValue().isBlank()) {
      throw invalid(field, "must not be blank");
    }
    return value.textValue();
  }

  private Endpoint checkEndpoint(String field, JsonNode value) throws SettingsException {
    String text = checkText(field, value);
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw invalid(field, "must have the form ip:port");
    }
    String ip = text.substring(0, colon);
    if (!InetAddresses.isInetAddress(ip)) {
      throw invalid(field, "must start with an IP number, not a host name: " + ip);
    }
    String port = text.substring(colon + 1);
    if (!port.matches("[0-9]{1,9}")) {
      throw invalid(field, "port must be a number: " + port);
    }
    int min = portZeroAllowed ? 0 : 1;
    int number = Integer.parseInt(port);
    if (number < min || number > 65_535) {
      throw invalid(field, "port must be between 1 and 65535: " + port);
    }
    return new Endpoint(ip, number);
  }

  private static String describe(JsonNode value) {
    return switch (value.getNodeType()) {
      case STRING -> "text";
      case NUMBER -> "a number";
      case BOOLEAN -> "a boolean";
      case ARRAY -> "a list";
      case OBJECT -> "an object";
      default -> "null";
    };
  }
}
