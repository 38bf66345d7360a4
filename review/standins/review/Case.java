package review;

import java.nio.file.Path;

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
abstract class Case {
    /** The case could not run: something that must work before the disruption did not. */
    static final class CannotRun extends Exception {
        private static final long serialVersionUID = 1;

        CannotRun(String why) {
            super(why);
        }
    }

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Cluster cluster;

    abstract Cluster.Settings settings();

    abstract Worker.Jobs jobs();

    /** Runs the case; returns what broke the rule, or null if it held. */
    abstract String run() throws Exception;

    static void main(Case test, String[] args) {
        int exit;
        try (Cluster cluster = new Cluster(test.settings(), test.jobs(), Path.of(args[0]))) {
            test.cluster = cluster;
            cluster.note("case: TROUBLE=" + (test.trouble ? 1 : 0));
            try {
                cluster.startAll();
                require(cluster.awaitReady(30), "the controllers are not ready after 30 s");
                String broken = test.run();
                exit = broken == null ? 0 : 1;
                cluster.note("verdict: " + (broken == null ? "the rule held" : "the rule was broken: " + broken));
                System.out.println(broken == null ? "the rule held" : "the rule was broken: " + broken);
            } catch (CannotRun e) {
                cluster.note("verdict: the case could not run: " + e.getMessage());
                System.out.println("the case could not run: " + e.getMessage());
                exit = 2;
            }
        } catch (Throwable e) {
            e.printStackTrace();
            exit = 2;
        }
        System.exit(exit);
    }

    static void require(boolean condition, String why) throws CannotRun {
        if (!condition) {
            throw new CannotRun(why);
        }
    }

    /** Waits until a condition holds; false if that takes too long. */
    boolean await(double timeoutS, java.util.concurrent.Callable<Boolean> condition) throws Exception {
        double endS = cluster.nowS() + timeoutS;
        while (cluster.nowS() < endS) {
            if (condition.call()) {
                return true;
            }
            Thread.sleep(200);
        }
        return false;
    }
}
