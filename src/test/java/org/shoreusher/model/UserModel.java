package org.shoreusher.model;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.LongFunction;
import org.shoreusher.core.Command;
import org.shoreusher.core.JobSpec;
import org.shoreusher.core.JobSpecBuilder;

/**
 * Users submit, poll and cancel at any node, and retry when they are refused or get no response.
 */
final class UserModel {
    /** A job as its user knows it. */
    static final class Wish {
        final JobSpec spec;
        final boolean cancels;
        final long runMs;
        boolean accepted;
        boolean cancelTold;
        long cancelToldAt;
        boolean cancelAsked;
        boolean doneTold;
        long doneToldAt;
        long answeredAt;

        Wish(JobSpec spec, boolean cancels, long runMs) {
            this.spec = spec;
            this.cancels = cancels;
            this.runMs = runMs;
        }
    }

    private final World world;

    /**
     * How many submissions in ten are sent to two nodes at the same time, like a retry whose first
     * attempt is still in flight.
     */
    int impatient;

    /**
     * Whether users poll all nodes at once, and submit again, right after a job was accepted, has
     * ended or was confirmed as cancelled; some cancel at once.
     */
    boolean closeLooks;

    /** How many batch jobs in ten are cancelled when their last task completes. */
    int cancelAtEnd;

    /**
     * Submissions that cannot run or lack a field, and how many of them were rejected permanently.
     */
    int badAsked;

    int badRefused;
    final Map<String, Wish> wishes = new LinkedHashMap<>();

    UserModel(World world) {
        this.world = world;
    }

    /** Whether the job's tasks end by themselves. */
    boolean ends(String job) {
        Wish w = wishes.get(job);
        return w == null || w.spec.workloadType().runsToCompletion();
    }

    /** Submits a service with some replicas, which its user may cancel after a while. */
    void submitService(int number, long at, int replicas, boolean cancels) {
        JobSpec spec =
                new JobSpecBuilder(String.format("wk-%06d", number))
                        .jobClass("gate")
                        .team("team-" + number % world.settings.teams().size())
                        .shape(JobSpec.WorkloadType.SERVICE)
                        .priority(JobSpec.Priority.PRODUCTION)
                        .tasks(replicas)
                        .spread(true)
                        .spot(false)
                        .estimateS(0)
                        .build();
        submit(new Wish(spec, cancels, 1_000), at);
    }

    /** Replicas that do not run, of services that nobody cancelled. */
    List<String> servicesDown() {
        List<String> down = new ArrayList<>();
        for (Wish w : wishes.values()) {
            if (!w.spec.workloadType().runsToCompletion() && !w.cancelAsked) {
                for (int i = 0; i < w.spec.taskCount(); i++) {
                    if (!w.accepted || !world.rules.runs(w.spec.id() + "/" + i)) {
                        down.add(w.spec.id() + "/" + i);
                    }
                }
            }
        }
        return down;
    }

    long runMs(String job) {
        Wish w = wishes.get(job);
        return w == null ? 1_000 : w.runMs / 2 + world.random.nextInt((int) w.runMs);
    }

    /** Submits a random job. */
    void submit(int number, long at) {
        String id = String.format("wk-%06d", number);
        var r = world.random;
        boolean oneZone = r.nextInt(4) == 0;
        JobSpec spec =
                new JobSpecBuilder(id)
                        .team("team-" + r.nextInt(world.settings.teams().size()))
                        .priority(JobSpec.Priority.values()[r.nextInt(4)])
                        .tasks(1 + r.nextInt(12))
                        .cpus(1 + r.nextInt(3))
                        .image("img-" + r.nextInt(3))
                        .zone(r.nextInt(5) == 0 ? "a" : null)
                        .oneZone(oneZone)
                        .spread(!oneZone && r.nextInt(4) == 0)
                        .spot(r.nextInt(3) > 0)
                        .build();
        submit(new Wish(spec, r.nextInt(5) == 0, 2_000 + r.nextInt(12_000)), at);
    }

    void submit(Wish w, long at) {
        world.at(
                at,
                () -> {
                    wishes.put(w.spec.id(), w);
                    trySubmit(w);
                    if (world.random.nextInt(10) < impatient) {
                        trySubmit(w);
                    }
                });
    }

    /** The user of a job that was accepted by a node that a test acts for. */
    void acceptedElsewhere(Wish w) {
        w.accepted = true;
        world.in(3_000, () -> poll(w));
    }

    private void ask(
            LongFunction<Command> command, BiConsumer<WireAnswer, Long> then, Runnable again) {
        ask(
                world.processes.get(world.random.nextInt(world.processes.size())),
                command,
                then,
                again);
    }

    private void ask(
            World.Process node,
            LongFunction<Command> command,
            BiConsumer<WireAnswer, Long> then,
            Runnable again) {
        long askedAt = world.now;
        boolean[] ended = {false};
        world.in(
                5_000,
                () -> {
                    if (!ended[0]) {
                        ended[0] = true;
                        again.run();
                    }
                });
        world.network.send(
                "user",
                node.host,
                () ->
                        node.request(
                                command,
                                answer ->
                                        world.network.send(
                                                node.host,
                                                "user",
                                                () -> {
                                                    if (ended[0]) {
                                                        return;
                                                    }
                                                    ended[0] = true;
                                                    if (answer.status() == 503) {
                                                        if (answer.retryAfterS() <= 0) {
                                                            world.rules.broken(
                                                                    "refused",
                                                                    "without Retry-After");
                                                        }
                                                        world.in(
                                                                1_000L * answer.retryAfterS(),
                                                                again);
                                                    } else {
                                                        then.accept(answer, askedAt);
                                                    }
                                                })));
    }

    private void trySubmit(Wish w) {
        ask(
                n -> new Command.Submit(n, w.spec.id(), w.spec, null),
                (answer, askedAt) -> {
                    if (answer.status() != 200 && answer.status() != 201) {
                        world.rules.broken(
                                "forgotten",
                                "submission of " + w.spec.id() + " got " + answer.status());
                    }
                    told(w, answer, askedAt);
                    if (!w.accepted) {
                        w.accepted = true;
                        lookClosely(w);
                    }
                    world.in(3_000, () -> poll(w));
                    if (w.cancels) {
                        world.in(
                                closeLooks && world.random.nextBoolean()
                                        ? 0
                                        : world.random.nextInt(15_000),
                                () -> cancel(w));
                    }
                },
                () -> trySubmit(w));
    }

    private void poll(Wish w) {
        if (w.doneTold && world.random.nextInt(4) > 0) {
            return;
        }
        ask(
                n -> new Command.Poll(n, w.spec.id()),
                (answer, askedAt) -> {
                    told(w, answer, askedAt);
                    world.in(5_000, () -> poll(w));
                },
                () -> poll(w));
    }

    void cancel(Wish w) {
        w.cancelAsked = true;
        ask(
                n -> new Command.Cancel(n, w.spec.id()),
                (answer, askedAt) -> told(w, answer, askedAt),
                () -> cancel(w));
    }

    private void told(Wish w, WireAnswer answer, long askedAt) {
        boolean ended = w.doneTold || w.cancelTold;
        world.rules.told(w, answer, askedAt);
        if (!ended && (w.doneTold || w.cancelTold)) {
            lookClosely(w);
        }
    }

    /** Polls all nodes within a few ms, and repeats the submission. */
    private void lookClosely(Wish w) {
        if (!closeLooks) {
            return;
        }
        for (World.Process node : world.processes) {
            world.in(
                    1 + world.random.nextInt(4),
                    () -> {
                        ask(
                                node,
                                n -> new Command.Poll(n, w.spec.id()),
                                (answer, askedAt) -> world.rules.told(w, answer, askedAt),
                                () -> {});
                        ask(
                                node,
                                n -> new Command.Submit(n, w.spec.id(), w.spec, null),
                                (answer, askedAt) -> {
                                    if (answer.status() != 200 && answer.status() != 201) {
                                        world.rules.broken(
                                                "forgotten",
                                                "repeated submission of "
                                                        + w.spec.id()
                                                        + " got "
                                                        + answer.status());
                                    }
                                    world.rules.told(w, answer, askedAt);
                                },
                                () -> {});
                        // An invalid body makes no difference to a job that is known.
                        ask(
                                node,
                                n -> new Command.Submit(n, w.spec.id(), null, "sheets is missing"),
                                (answer, askedAt) -> {
                                    if (answer.status() != 200) {
                                        world.rules.broken(
                                                "forgotten",
                                                "repeated submission of "
                                                        + w.spec.id()
                                                        + " got "
                                                        + answer.status());
                                    }
                                },
                                () -> {});
                    });
        }
    }

    /** The last task of the job has just completed. */
    void ended(String job) {
        Wish w = wishes.get(job);
        if (w != null && world.random.nextInt(10) < cancelAtEnd) {
            cancel(w);
        }
    }

    /**
     * Sends a submission that fits no machine, of an unknown team, above its team's quota, or
     * without a field; it must be rejected permanently.
     */
    void submitBad(int number) {
        badAsked++;
        String id = String.format("wk-%06d", 900_000 + number);
        JobSpec spec =
                switch (number % 4) {
                    case 0 -> bad(id, "team-0", 1_000, null);
                    case 1 -> bad(id, "nobody", 1, null);
                    case 2 -> bad(id, "team-0", 1, "nowhere");
                    default -> null;
                };
        int expected = spec == null ? 400 : 422;
        ask(
                n -> new Command.Submit(n, id, spec, spec == null ? "sheets is missing" : null),
                (answer, askedAt) -> {
                    badRefused++;
                    if (answer.status() != expected) {
                        world.rules.broken(
                                "accepted_bad",
                                id + " got " + answer.status() + " instead of " + expected);
                    }
                },
                () -> {});
    }

    private static JobSpec bad(String id, String team, double cpus, String zone) {
        return new JobSpecBuilder(id)
                .team(team)
                .priority(JobSpec.Priority.NORMAL)
                .cpus(cpus)
                .zone(zone)
                .build();
    }

    /** Polls a job that nobody submitted. */
    void askUnknown() {
        ask(
                n -> new Command.Poll(n, "wk-999999"),
                (answer, askedAt) -> {
                    if (answer.status() != 404) {
                        world.rules.broken("invented", "got " + answer.status());
                    }
                },
                () -> {});
    }
}
