package org.shoreusher.cli;

import org.shoreusher.settings.Features;
import org.shoreusher.settings.Settings;

/** A whole controller that runs on a thread of its own until it is closed. */
final class RunningController implements AutoCloseable {
    private final Controller controller;
    private final Thread thread;

    RunningController(Settings settings) {
        controller = new Controller(settings, Features.NONE, "smoke-check/test");
        thread = new Thread(this::run);
        thread.start();
    }

    private void run() {
        try {
            controller.run();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws InterruptedException {
        controller.stop();
        thread.join();
    }
}
