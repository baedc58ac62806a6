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
 * One JSON object of a settings file with the path that leads to it. Remembers which fields were
 * read, so that all others can be refused as unknown.
 */
final class SettingsObject {

  private static final List<String> UNIT_SUFFIXES =
      List.of("Millis", "Seconds", "Nanos", "Bytes", "Kib", "Mib");

  private final JsonNode node;
  private final String prefix;
  private final boolean portZeroAllowed;
  private final Set<String> known = new HashSet<>();

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

  SettingsException broken(String field, String rule) {
    return new SettingsException(prefix + field, rule);
  }

  String text(String field) throws SettingsException {
    return checkText(field, required(field));
  }

  <T> T id(String field, Function<String, T> factory) throws SettingsException {
    String value = text(field);
    try {
      return factory.apply(value);
    } catch (IllegalArgumentException e) {
      throw broken(field, e.getMessage());
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

  int integer(String field, int defaultValue, int min, int max) throws SettingsException {
    JsonNode value = optional(field);
    if (value == null) {
      return defaultValue;
    }
    if (!value.isIntegralNumber()) {
      throw broken(field, "must be a whole number without a unit, not " + describe(value));
    }
    if (!value.canConvertToInt() || value.intValue() < min || value.intValue() > max) {
      throw broken(field, "must be between " + min + " and " + max);
    }
    return value.intValue();
  }

  <E extends Enum<E>> E choice(String field, Class<E> type, E defaultValue)
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
    throw broken(
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

  /** Refuses two addresses of one process that are equal, unless the port is chosen at start. */
  void refuseSharedAddresses(String... fields) throws SettingsException {
    Map<Endpoint, String> seen = new HashMap<>();
    for (String field : fields) {
      Endpoint endpoint = endpoint(field);
      String other = endpoint.port() == 0 ? null : seen.put(endpoint, field);
      if (other != null) {
        throw broken(field, "must differ from " + prefix + other);
      }
    }
  }

  void refuseUnknownFields() throws SettingsException {
    for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
      String name = names.next();
      if (!known.contains(name)) {
        throw broken(name, "unknown field" + hint(name));
      }
    }
  }

  private String hint(String name) {
    return known.stream()
        .filter(field -> field.equalsIgnoreCase(name) || stem(field).equals(stem(name)))
        .findFirst()
        .map(field -> "; did you mean " + prefix + field + "?")
        .orElse("");
  }

  private static String stem(String name) {
    for (String suffix : UNIT_SUFFIXES) {
      if (name.endsWith(suffix)) {
        return name.substring(0, name.length() - suffix.length());
      }
    }
    return name;
  }

  private JsonNode optional(String field) throws SettingsException {
    known.add(field);
    JsonNode value = node.get(field);
    if (value != null && value.isNull()) {
      throw broken(field, "must not be null; leave the field out for its default");
    }
    return value;
  }

  private JsonNode required(String field) throws SettingsException {
    JsonNode value = optional(field);
    if (value == null) {
      throw broken(field, "missing; a value is required");
    }
    return value;
  }

  private JsonNode array(String field, JsonNode value) throws SettingsException {
    if (!value.isArray()) {
      throw broken(field, "must be a list, not " + describe(value));
    }
    return value;
  }

  private SettingsObject child(String field, JsonNode value) throws SettingsException {
    if (!value.isObject()) {
      throw broken(field, "must be an object, not " + describe(value));
    }
    return new SettingsObject(value, prefix + field + ".", portZeroAllowed);
  }

  private String checkText(String field, JsonNode value) throws SettingsException {
    if (!value.isTextual()) {
      throw broken(field, "must be text, not " + describe(value));
    }
    if (value.textValue().isBlank()) {
      throw broken(field, "must not be blank");
    }
    return value.textValue();
  }

  private Endpoint checkEndpoint(String field, JsonNode value) throws SettingsException {
    String text = checkText(field, value);
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw broken(field, "must have the form ip:port");
    }
    String ip = text.substring(0, colon);
    if (!InetAddresses.isInetAddress(ip)) {
      throw broken(field, "must start with an IP number, not a host name: " + ip);
    }
    String port = text.substring(colon + 1);
    if (!port.matches("[0-9]{1,9}")) {
      throw broken(field, "port must be a number: " + port);
    }
    int min = portZeroAllowed ? 0 : 1;
    int number = Integer.parseInt(port);
    if (number < min || number > 65_535) {
      throw broken(field, "port must be between 1 and 65535: " + port);
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
