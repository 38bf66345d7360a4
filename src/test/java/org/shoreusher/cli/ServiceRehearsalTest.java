package org.shoreusher.cli;

import java.nio.charset.StandardCharsets;
import net.jqwik.api.Example;
import org.shoreusher.settings.Features;
import org.shoreusher.settings.Settings;

/** The checks that the build runs against a service, with a whole controller over loopback. */
class ServiceRehearsalTest {
    @Example
    void aServiceComesBackWhenItsMachineIsLostAndEndsWhenItIsCancelled() throws Exception {
        try (ServiceRehearsal story = new ServiceRehearsal()) {
            byte[] file = story.settingsJson().getBytes(StandardCharsets.UTF_8);
            Service controller = new Service(Settings.parse(file), Features.NONE, "rehearsal/test");
            Thread thread = new Thread(() -> run(controller));
            thread.start();
            try {
                story.run();
            } finally {
                controller.stop();
                thread.join();
            }
        }
    }

    private static void run(Service controller) {
        try {
            controller.run();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
