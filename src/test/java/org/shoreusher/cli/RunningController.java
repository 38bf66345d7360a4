package org.shoreusher.cli;

import org.shoreusher.settings.Features;
import org.shoreusher.settings.Settings;

/** Runs a whole controller for the duration of a test. */
final class RunningController {
    /** What a test does while the controller runs. */
    interface TestBody {
        /** Runs the test. */
        void run() throws Exception;
    }

    private RunningController() {}

    /** Starts a controller on a thread of its own, runs the test, and stops the controller. */
    static void runDuring(Settings settings, TestBody test) throws Exception {
        Controller controller = new Controller(settings, Features.NONE, "smoke-check/test");
        Thread thread = new Thread(() -> run(controller));
        thread.start();
        try {
            test.run();
        } finally {
            controller.stop();
            thread.join();
        }
    }

    private static void run(Controller controller) {
        try {
            controller.run();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
