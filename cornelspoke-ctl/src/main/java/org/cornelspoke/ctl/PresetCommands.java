package org.cornelspoke.ctl;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Commands that read and change presets. */
final class PresetCommands {

  private static final JsonMapper MAPPER = JsonMapper.builder().build();
  private static final String[] COLUMNS = {
    "PRESET", "name",
    "RETRY BUDGET", "retryBudget",
    "RETRY RATIO", "retryRatio",
    "NEWEST FIRST AFTER MS", "newestFirstAfterMillis",
    "REVISION", "revision",
    "IN FORCE", "inForce"
  };

  private PresetCommands() {}

  @Parameters(commandDescription = "List the presets and show which one is in force")
  static final class ListAll extends Command {

    ListAll(CommonOptions common) {
      super(common);
    }

    @Override
    int run(CommandContext context) throws CommandException {
      // A single read returns the presets and the preset in force at the same revision.
      ObjectNode response = context.client().read("config").deepCopy();
      String inForce = response.at("/presetInForce/0/name").asText();
      for (JsonNode preset : response.path("presets")) {
        boolean isInForce = preset.path("name").asText().equals(inForce);
        ((ObjectNode) preset).put("inForce", isInForce ? "yes" : "");
      }
      ObjectNode shown = MAPPER.createObjectNode();
      shown.set("configRevision", response.path("configRevision"));
      shown.put("presetInForce", inForce);
      shown.set("presets", response.path("presets"));
      return context.printList(shown, "presets", COLUMNS);
    }
  }

  @Parameters(commandDescription = "Show every setting of a preset")
  static final class Show extends Command {

    @Parameter(description = "PRESET", required = true)
    private String preset;

    Show(CommonOptions common) {
      super(common);
    }

    @Override
    int run(CommandContext context) throws CommandException {
      JsonNode response =
          context.client().read("presets/" + CommandContext.requirePathSegment("PRESET", preset));
      if (context.console().isJsonOutput()) {
        context.console().printJson(response);
        return ExitCodes.OK;
      }
      ArrayNode classes = MAPPER.createArrayNode();
      for (var entry : response.path("classes").properties()) {
        ObjectNode row = entry.getValue().deepCopy();
        classes.add(row.put("class", entry.getKey()));
      }
      String[] columns = Arrays.copyOf(COLUMNS, COLUMNS.length - 2);
      context.console().printTable(MAPPER.createArrayNode().add(response), columns);
      context.console().printLine("");
      context
          .console()
          .printTable(
              classes,
              "CLASS",
              "class",
              "SLOT SHARE",
              "slotShare",
              "QUEUE LIMIT",
              "queueLimit",
              "QUEUE TIMEOUT MS",
              "queueTimeoutMillis",
              "REFUSED",
              "refused");
      return ExitCodes.OK;
    }
  }

  @Parameters(
      commandDescription =
          "Create or change a preset, from its present settings, another preset or a JSON file")
  static final class Set extends Command {

    @Parameter(description = "PRESET", required = true)
    private String preset;

    @Parameter(names = "--from", description = "Start from the settings of this preset")
    private String from;

    @Parameter(names = "--file", description = "Start from a JSON file as shown by --json")
    private String file;

    @Parameter(
        names = "--set",
        description = "FIELD=VALUE, for example retryRatio=0.2 or classes.BULK.refused=true")
    private List<String> assignments = new ArrayList<>();

    Set(CommonOptions common) {
      super(common);
    }

    @Override
    int run(CommandContext context) throws CommandException {
      String path = "presets/" + CommandContext.requirePathSegment("PRESET", preset);
      if (from != null && file != null) {
        throw CommandException.usage("--from and --file exclude each other");
      }
      if (file == null && from == null && assignments.isEmpty()) {
        throw CommandException.usage("give at least one of --set, --from, --file");
      }
      Long baseRevision = context.options().revision();
      ObjectNode body;
      if (file != null) {
        body = readFile();
      } else {
        String sourcePath =
            from == null ? path : "presets/" + CommandContext.requirePathSegment("--from", from);
        JsonNode source = context.client().read(sourcePath);
        body = CommandContext.toEntity(source);
        // The body repeats values read before, so it must not overwrite a concurrent change.
        baseRevision = context.baseRevision(source);
      }
      body.remove(List.of("name", "revision", "configRevision", "inForce"));
      for (String assignment : assignments) {
        assign(body, assignment);
      }
      JsonNode response = context.submitChange("PUT", path, body, baseRevision);
      return context.printAccepted(response, "preset " + preset + " set");
    }

    private ObjectNode readFile() throws CommandException {
      try {
        JsonNode node = MAPPER.readTree(Files.readString(Path.of(file)));
        if (node instanceof ObjectNode object) {
          return object;
        }
        throw CommandException.usage("--file: must hold one JSON object: " + file);
      } catch (JsonProcessingException e) {
        throw CommandException.usage("--file: must be JSON: " + e.getOriginalMessage());
      } catch (IOException | InvalidPathException e) {
        throw CommandException.usage("--file: can't be read: " + file);
      }
    }

    private static void assign(ObjectNode body, String assignment) throws CommandException {
      int equals = assignment.indexOf('=');
      if (equals < 1) {
        throw CommandException.usage("--set: must have the form FIELD=VALUE: " + assignment);
      }
      String field = assignment.substring(0, equals);
      String pointer = "/" + field.replace('.', '/');
      int slash = pointer.lastIndexOf('/');
      JsonNode parent = body.at(pointer.substring(0, slash));
      String name = pointer.substring(slash + 1);
      if (!(parent instanceof ObjectNode object) || !object.path(name).isValueNode()) {
        throw CommandException.usage("--set: unknown field: " + field);
      }
      try {
        object.set(name, MAPPER.readTree(assignment.substring(equals + 1)));
      } catch (JsonProcessingException e) {
        throw CommandException.usage("--set: must be a number, true or false: " + assignment);
      }
    }
  }
}
