package org.shoreusher.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.shoreusher.model.World.Sabotage;
import org.shoreusher.model.World.Trouble;
import org.shoreusher.settings.Features;
import org.shoreusher.settings.Settings;
import org.shoreusher.standby.StandbySettings;

/** Simulations whose controllers keep a warm standby, and the outcomes of their failovers. */
final class StandbyWorlds {
    /** Small frames, so that snapshots take several. */
    static final Features FEATURES =
            new Features(null, new StandbySettings(1_000, 1_000, 8, 10_000));

    static final String IN_SYNC = "goes on from its log";

    private static final long QUIET_MS = 200_000;
    private static final long END_MS = 400_000;
    private static final long FIRST_KILL_MS = 25_000;
    private static final long LAST_KILL_MS = 140_000;

    /** Effects of a leader within some seconds: responses, store calls, frames, log lines. */
    private static final int MOST_EFFECTS = 600;

    private StandbyWorlds() {}

    static World world(long seed, Settings settings, List<Trouble> troubles) {
        World w = new World(seed, settings, 1, Sabotage.NONE);
        w.features = FEATURES;
        submit(w, troubles);
        return w;
    }

    /** Submits jobs as in the other simulations, and runs to the end. */
    static void submit(World w, List<Trouble> troubles) {
        w.users.closeLooks = true;
        for (int i = 0; i < 50; i++) {
            w.users.submit(i, 1_000 + w.random.nextInt(130_000));
        }
        w.quietFrom = QUIET_MS;
        w.at(QUIET_MS, w.rules::watchWaiting);
        w.run(END_MS, troubles);
        w.rules.end();
        w.rules.servedByHalf();
    }

    /**
     * Leaders crash after a random number of effects, in half of the simulations while machines are
     * unresponsive.
     */
    static List<Trouble> kills(long seed) {
        Random r = new Random(seed * 7919 + 3);
        List<Trouble> list = new ArrayList<>();
        for (long at = FIRST_KILL_MS; at < LAST_KILL_MS; at += 15_000 + r.nextInt(15_000)) {
            int effects = r.nextInt(MOST_EFFECTS);
            long back = 50 + r.nextInt(6_000);
            list.add(
                    new Trouble(
                            at,
                            w ->
                                    Troubles.owners(w)
                                            .forEach(p -> p.killSwitch.armAfter(effects, back))));
            if (seed % 2 == 0) {
                long length = 4_000 + r.nextInt(16_000);
                list.add(new Trouble(at, w -> silence(w, length)));
            }
        }
        return list;
    }

    /** The heartbeats of a third of the machines reach no controller for a while. */
    static void silence(World w, long lengthMs) {
        for (WorkerModel m : w.cloud.machines()) {
            if (w.random.nextInt(3) == 0) {
                m.mute(lengthMs);
            }
        }
    }

    /** The number of failovers by outcome, as their log lines name it. */
    static Map<String, Integer> promotions(World w) {
        Map<String, Integer> counts = new HashMap<>();
        for (String line : w.log) {
            int at = line.indexOf("promotion: ");
            if (at >= 0) {
                String[] words = line.substring(at).split(", ");
                counts.merge(words[1], 1, Integer::sum);
            }
        }
        return counts;
    }

    /** The log line of the first failover from another leader. */
    static String firstPromotion(World w) {
        return w.log.stream()
                .filter(line -> line.contains("promotion: "))
                .findFirst()
                .orElseThrow();
    }

    static List<String> unfinished(World w) {
        return w.users.wishes.values().stream()
                .filter(x -> !x.doneTold && !x.cancelTold)
                .map(x -> x.spec.id())
                .toList();
    }
}
