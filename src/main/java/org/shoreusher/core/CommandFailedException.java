package org.shoreusher.core;

import org.shoreusher.core.message.Command;

/** The handling of one command of a batch failed because of a fault of the program. */
public final class CommandFailedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient Command command;
    private final int index;

    /**
     * Creates the exception.
     *
     * @param command the command
     * @param index its index in the batch; those before it have been handled, those after it not
     * @param cause the exception that the handling threw
     */
    public CommandFailedException(Command command, int index, RuntimeException cause) {
        super("cannot handle a command of type " + command.getClass().getSimpleName(), cause);
        this.command = command;
        this.index = index;
    }

    /** The command whose handling failed. */
    public Command command() {
        return command;
    }

    /** The index of the command in its batch. */
    public int index() {
        return index;
    }
}
