package org.cornelspoke.ctl;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.PrintStream;
import java.util.Map;

/**
 * Parses the command line, runs the command and turns failures into exit codes.
 *
 * <p>An instance runs one command line.
 */
public final class CommandLine {

  static final String PROGRAM = "cornelspokectl";
  private static final int HELP_COLUMNS = 100;

  private final CommonOptions options;
  private final PrintStream out;
  private final PrintStream err;

  /**
   * Creates a command line.
   *
   * @param environment variables that stand in for options which are not given
   * @param out receives answers
   * @param err receives error messages
   */
  public CommandLine(Map<String, String> environment, PrintStream out, PrintStream err) {
    this.options = new CommonOptions(environment);
    this.out = out;
    this.err = err;
  }

  /** Runs the command line and returns the exit code. */
  public int run(String... args) {
    JCommander root = commands();
    try {
      root.parse(args);
    } catch (ParameterException e) {
      String message = e.getMessage().lines().findFirst().orElse("usage error");
      return fail(CommandException.usage(message));
    }
    JCommander selected = root;
    String name = PROGRAM;
    while (selected.getParsedCommand() != null) {
      name += " " + selected.getParsedCommand();
      selected = selected.getCommands().get(selected.getParsedCommand());
    }
    if (options.help()) {
      out.print(help(name, selected));
      return ExitCodes.OK;
    }
    if (!(selected.getObjects().get(0) instanceof Command command)) {
      return fail(
          CommandException.usage(
              "a command is missing; one of "
                  + String.join(", ", selected.getCommands().keySet())));
    }
    try {
      return command.run(session());
    } catch (CommandException e) {
      return fail(e);
    }
  }

  private Session session() throws CommandException {
    ApiClient client = new ApiClient(options.endpoints(), options.token(), options.timeoutMillis());
    return new Session(options, client, new Console(out, options.json()), new Secrets());
  }

  private int fail(CommandException failure) {
    if (options.json()) {
      new Console(out, true).printJson(failure.json());
    } else {
      err.println(PROGRAM + ": " + failure.getMessage());
    }
    return failure.exitCode();
  }

  private static String help(String name, JCommander selected) {
    StringBuilder text = new StringBuilder();
    if (selected.getCommands().isEmpty()) {
      // JCommander finds a parsed command by its name, so the long name is set only now.
      selected.setProgramName(name);
      selected.setColumnSize(HELP_COLUMNS);
      selected.getUsageFormatter().usage(text);
      return text.toString();
    }
    // The formatter would print every option of every command here.
    text.append("Usage: ").append(name).append(" COMMAND [options]\n");
    addCommands(text, name, selected);
    return text.append("Run a command with --help for its options.\n").toString();
  }

  private static void addCommands(StringBuilder text, String prefix, JCommander parent) {
    parent
        .getCommands()
        .forEach(
            (word, child) -> {
              String name = prefix + " " + word;
              if (child.getCommands().isEmpty()) {
                text.append("  ").append(name).append("\n      ");
                text.append(parent.getUsageFormatter().getCommandDescription(word)).append('\n');
              } else {
                addCommands(text, name, child);
              }
            });
  }

  private JCommander commands() {
    JCommander root = JCommander.newBuilder().programName(PROGRAM).addObject(options).build();
    // A leading @ would otherwise read arguments from a file.
    root.setExpandAtSign(false);
    CommandGroup.addTo(root, options, "account")
        .with("create", new AccountCommands.Create(options))
        .with("list", new AccountCommands.ListAll(options))
        .with("show", new AccountCommands.Show(options))
        .with("set", new AccountCommands.Set(options))
        .with("delete", new AccountCommands.Delete(options));
    CommandGroup.addTo(root, options, "key")
        .with("give", new KeyCommands.Give(options))
        .with("withdraw", new KeyCommands.Withdraw(options))
        .with("list", new KeyCommands.ListAll(options));
    CommandGroup.addTo(root, options, "preset")
        .with("list", new PresetCommands.ListAll(options))
        .with("show", new PresetCommands.Show(options))
        .with("set", new PresetCommands.Set(options))
        .with("use", new PresetUse(options));
    CommandGroup.addTo(root, options, "route")
        .with("list", new RouteCommands.ListAll(options))
        .with("set", new RouteCommands.Set(options))
        .with("delete", new RouteCommands.Delete(options));
    CommandGroup.addTo(root, options, "upstream")
        .with("list", new StatusCommands.UpstreamList(options));
    CommandGroup.addTo(root, options, "member")
        .with("list", new MemberCommands.ListAll(options))
        .with("add", new MemberCommands.Add(options))
        .with("promote", new MemberCommands.Promote(options))
        .with("remove", new MemberCommands.Remove(options));
    CommandGroup.addTo(root, options, "operator")
        .with("list", new OperatorCommands.ListAll(options))
        .with("set", new OperatorCommands.Set(options))
        .with("delete", new OperatorCommands.Delete(options));
    CommandGroup.addTo(root, options, "config")
        .with("show", new StatusCommands.ConfigShow(options));
    root.addCommand("status", new StatusCommands.Status(options));
    root.addCommand("audit", new StatusCommands.Audit(options));
    return root;
  }
}
