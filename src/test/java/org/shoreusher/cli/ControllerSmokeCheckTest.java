package org.shoreusher.cli;

import java.nio.charset.StandardCharsets;
import net.jqwik.api.Example;
import org.shoreusher.settings.Features;
import org.shoreusher.settings.Settings;

/** The checks that the build runs against a service, with a whole controller over loopback. */
class ControllerSmokeCheckTest {
    @Example
    void serviceRecoversFromAMachineLossAndEndsWhenCancelled() throws Exception {
        try (ControllerSmokeCheck smokeCheck = new ControllerSmokeCheck()) {
            byte[] file = smokeCheck.settingsJson().getBytes(StandardCharsets.UTF_8);
            Controller controller =
                    new Controller(Settings.parse(file), Features.NONE, "smoke-check/test");
            Thread thread = new Thread(() -> run(controller));
            thread.start();
            try {
                smokeCheck.run();
            } finally {
                controller.stop();
                thread.join();
            }
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
