import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** The worker of one machine, as the pages describe it. Direct commands are served too. */
final class Worker {
    /** A task on the machine. */
    static final class Sheet {
        final String name;
        final long attempt;
        String status = "pulling";
        String cause;
        boolean stored;
        long runUntilNs;

        Sheet(String name, long attempt) {
            this.name = name;
            this.attempt = attempt;
        }

        boolean isOn() {
            return status.equals("running") || status.equals("flushing");
        }
    }

    final String box;
    private final Cloud.Type type;
    private final String yard;
    private final boolean spot;
    private final World world;
    private final Map<String, Sheet> sheets = new LinkedHashMap<>();
    private final Random random;
    private final int ordersPort;
    private long shift = 1;
    private long tally;
    private long baton;
    private long reportedBatonNs;
    private long leaseFromNs = System.nanoTime();
    private long changedAtNs;
    private long lastReportNs;
    private int controller;
    private boolean gone;
    /** Until when the machine hangs: it sends nothing, takes nothing and runs nothing. */
    private long hangsUntilNs = System.nanoTime();
    Http.Client client;

    Worker(String box, Cloud.Type type, String yard, boolean spot, World world) throws Exception {
        this.box = box;
        this.type = type;
        this.yard = yard;
        this.spot = spot;
        this.world = world;
        random = new Random(box.hashCode());
        controller = random.nextInt(world.controllers.size());
        ordersPort = Http.serve(this::direct);
        Http.daemon(this::reports);
        Http.daemon(
                () -> {
                    while (!gone) {
                        Thread.sleep(20);
                        tick();
                    }
                });
    }

    String addr() {
        return Http.HOST + ":" + ordersPort;
    }

    synchronized void gone() {
        gone = true;
        sheets.values().forEach(sheet -> end(sheet, "machine gone"));
        sheets.clear();
    }

    synchronized void hang(long ms) {
        hangsUntilNs = System.nanoTime() + ms * 1_000_000;
    }

    private boolean hangs() {
        return System.nanoTime() < hangsUntilNs;
    }

    private void end(Sheet sheet, String why) {
        if (sheet.isOn()) {
            world.ended(sheet.name, box, why);
        }
    }

    private synchronized void tick() {
        if (gone) {
            return;
        }
        long now = System.nanoTime();
        if (now - leaseFromNs > world.leaseMs * 1_000_000L) {
            world.log(box + " lease over, shift " + shift + " ends with " + sheets.keySet());
            sheets.values().forEach(sheet -> end(sheet, "lease over"));
            sheets.clear();
            shift++;
            leaseFromNs = now;
            changedAtNs = now;
        }
        if (hangs()) {
            return;
        }
        for (Sheet sheet : sheets.values()) {
            if (sheet.status.equals("pulling")) {
                sheet.status = "running";
                sheet.runUntilNs = now + (long) (world.runS(sheet.name) * 1e9);
                changedAtNs = now;
                world.started(sheet.name, sheet.attempt, box);
            } else if (sheet.status.equals("running")
                    && (now >= sheet.runUntilNs || world.isFinished(sheet.name))) {
                end(sheet, "done");
                sheet.status = "exited";
                sheet.cause = "done";
                world.completed(sheet.name);
                changedAtNs = now;
            }
        }
    }

    private synchronized Map<String, Object> report() {
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("box", box);
        report.put("addr", addr());
        report.put("press", type.sku());
        report.put("yard", yard);
        report.put("loaners", spot);
        report.put("shift", shift);
        report.put("tally", ++tally);
        report.put("baton", baton);
        report.put("warning_s", null);
        List<Object> list = new ArrayList<>();
        for (Sheet sheet : sheets.values()) {
            Map<String, Object> map = new LinkedHashMap<>();
            map.put("sheet", sheet.name);
            map.put("try", sheet.attempt);
            map.put("status", sheet.status);
            if (sheet.cause != null) {
                map.put("cause", sheet.cause);
                if (sheet.stored) {
                    map.put("stored", true);
                }
            }
            list.add(map);
        }
        report.put("sheets", list);
        return report;
    }

    private void reports() throws Exception {
        Thread.sleep(random.nextInt(500));
        while (!gone) {
            if (hangs()) {
                Thread.sleep(20);
                continue;
            }
            if (client == null) {
                client = new Http.Client(world.workerPort(controller));
            }
            long sentNs = System.nanoTime();
            lastReportNs = sentNs;
            long sentShift = shift;
            Http.Answer answer = client.call("/hello", report(), 4_000);
            while (hangs() && !gone) {
                Thread.sleep(20);
            }
            if (System.nanoTime() - sentNs > 4_000_000_000L) {
                answer = Http.Answer.NONE;
            }
            if (answer.status() == 200) {
                accept(answer.body(), sentNs, sentShift);
                sleepUntilNext();
                continue;
            }
            client.close();
            client = null;
            int named = answer.status() == 421 ? world.hosts.indexOf(answer.text("foreman")) : -1;
            if (named >= 0 && named != controller) {
                controller = named;
                Thread.sleep(random.nextInt(500));
            } else {
                controller = (controller + 1) % world.controllers.size();
                Thread.sleep(1_000);
            }
        }
    }

    private void sleepUntilNext() throws InterruptedException {
        long next = lastReportNs + (long) (world.reportMs * (0.75 + random.nextDouble() / 2) * 1e6);
        while (System.nanoTime() < next && !gone) {
            if (changedAtNs > lastReportNs && System.nanoTime() - lastReportNs > 500_000_000L) {
                return;
            }
            Thread.sleep(10);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized void accept(Map<String, Object> body, long sentNs, long sentShift) {
        long token = ((Number) body.getOrDefault("baton", -1L)).longValue();
        if (token < baton || sentShift != shift) {
            return;
        }
        see(token);
        leaseFromNs = Math.max(leaseFromNs, sentNs);
        execute((List<Map<String, Object>>) body.get("orders"));
    }

    private void see(long token) {
        if (token > baton) {
            baton = token;
            if (System.nanoTime() - reportedBatonNs > world.leaseMs * 500_000L) {
                reportedBatonNs = System.nanoTime();
                changedAtNs = reportedBatonNs;
            }
        }
    }

    private void execute(List<Map<String, Object>> orders) {
        for (Map<String, Object> order : orders) {
            String name = (String) order.get("sheet");
            long attempt = ((Number) order.get("try")).longValue();
            Sheet sheet = sheets.get(name);
            switch ((String) order.get("verb")) {
                case "run" -> {
                    if (sheet == null) {
                        sheets.put(name, new Sheet(name, attempt));
                        changedAtNs = System.nanoTime();
                    } else if (sheet.attempt != attempt) {
                        world.log(box + " already has " + name);
                    }
                }
                case "halt" -> {
                    if (sheet != null && sheet.attempt == attempt && sheet.cause == null) {
                        end(sheet, "halted");
                        sheet.status = "exited";
                        sheet.cause = "halted";
                        changedAtNs = System.nanoTime();
                    }
                }
                default -> {
                    if (sheet != null && sheet.attempt == attempt && sheet.cause != null) {
                        sheets.remove(name);
                        changedAtNs = System.nanoTime();
                    }
                }
            }
        }
    }

    @SuppressWarnings("unchecked")
    private Http.Answer direct(Http.Request request) throws Exception {
        while (hangs() && !gone) {
            Thread.sleep(20);
        }
        synchronized (this) {
            if (gone) {
                return Http.Answer.NONE;
            }
            if (request.path().equals("/orders")) {
                long token = ((Number) request.body().get("baton")).longValue();
                if (token < baton || ((Number) request.body().get("shift")).longValue() != shift) {
                    return new Http.Answer(409, report());
                }
                see(token);
                execute((List<Map<String, Object>>) request.body().get("orders"));
            }
            return new Http.Answer(200, report());
        }
    }
}
