/*
 * Copyright 2026 The lupinpaddle authors
 *
 * Licensed under the Apache License, Version 2.0 (the "License");
 * you may not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 *      http://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing, software
 * distributed under the License is distributed on an "AS IS" BASIS,
 * WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 * See the License for the specific language governing permissions and
 * limitations under the License.
 */
package org.lupinpaddle.core.run;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.job.EndKind;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.placement.WorkerFacts;
import org.lupinpaddle.core.placement.WorkerIncarnation;
import org.lupinpaddle.core.run.ScriptedFleet.Call;
import org.lupinpaddle.core.run.ScriptedFleet.Fate;
import org.lupinpaddle.core.run.ScriptedFleet.Owner;
import org.lupinpaddle.core.run.ScriptedWorker.Task;

/**
 * Searches drawn orders of restarts under an id, cuts, late orders and changes of owner for runs that overlap and for
 * tasks that hang. A seed always draws the same history. The main method plays other seeds and options.
 */
final class RestartAndCutSearchTest {

    private static final long FIRST_SEED = 1;
    private static final int SEEDS = 150;

    /** What a history may contain. */
    enum Option {
        /** Orders that are executed late. */
        LATE,
        /** Changes of owner. */
        OWNERS,
        /** The platform's lists of instances. */
        INSTANCES,
        /** Processes that are down for some time before they return. */
        DOWN,
        /**
         * Late starts as the first order of an unheard incarnation, of runs that were done or stopped, or whose
         * worker's loss was proven. No worker can refuse them, so these may break.
         */
        OPEN_LATE_STARTS,
        /** Late holds to an unheard incarnation. */
        OPEN_LATE_HOLDS,
        /** Restarts that no birth shows, with a clock ahead of the former one. */
        UNSEEN_RESTARTS
    }

    private static final Set<Option> USUAL =
            Set.of(Option.LATE, Option.OWNERS, Option.INSTANCES, Option.DOWN, Option.OPEN_LATE_HOLDS);

    /** Guards against orders of events that no scripted test forces. */
    @Test
    void noRunsOverlapAndNoTaskHangs() {
        List<String> broken = new ArrayList<>();
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            History h = new History(seed, USUAL);
            h.play();
            if (!h.faults().isEmpty()) {
                broken.add("seed " + seed + ": " + h.faults() + "\n" + String.join("\n", h.events));
            }
        }
        assertEquals(List.of(), broken);
    }

    /**
     * Plays seeds and prints those that break.
     *
     * @param args the first seed, the number of seeds, and options to add or, after a minus, to leave out; TRACE
     *     prints the order of events of each broken seed
     */
    public static void main(String[] args) {
        long first = Long.parseLong(args[0]);
        long count = Long.parseLong(args[1]);
        Set<Option> options = EnumSet.copyOf(USUAL);
        boolean trace = false;
        for (String a : List.of(args).subList(2, args.length)) {
            if (a.equals("TRACE")) {
                trace = true;
            } else if (a.startsWith("-")) {
                options.remove(Option.valueOf(a.substring(1)));
            } else {
                options.add(Option.valueOf(a));
            }
        }
        Map<String, Integer> kinds = new TreeMap<>();
        int broken = 0;
        for (long seed = first; seed < first + count; seed++) {
            History h = new History(seed, options);
            h.play();
            h.counts.forEach((k, n) -> kinds.merge(k, n, Integer::sum));
            if (!h.faults().isEmpty()) {
                broken++;
                h.kinds().forEach(k -> kinds.merge(k, 1, Integer::sum));
                System.out.println("seed " + seed + " " + h.faults());
                if (trace) {
                    h.events.forEach(System.out::println);
                }
            }
        }
        System.out.println(
                broken + " of " + count + " seeds from " + first + " broke, options " + options + ": " + kinds);
    }

    /** One history. */
    private static final class History {
        // All tasks fit on one worker.
        private static final StepSpec.Need NEED = new StepSpec.Need(200, 50, 0);
        private static final long STEP_MILLIS = 10;
        private static final long FAULTS_UNTIL = 30_000;
        private static final long WELL_AT = 45_000;
        private static final long WELL_MILLIS = 60_000;
        private static final long MAX_LATE_MILLIS = 14_000;
        private static final long FIRST_BIRTH = 1_000_000;

        /** Something that happens at a given time. */
        private record Event(long at, long number, Runnable what) {}

        /** A list of the instances that were up. */
        private record InstanceList(Set<String> up, long askedAt) {}

        /** The birth of an incarnation, and the value of its clock at its end. */
        private record Heard(long born, long clock, long endedAt) {}

        /** A job of the history. */
        private record Job(StepSpec step, long runMillis) {}

        private final Random plan;
        private final Random fates;
        private final Set<Option> options;
        private final ScriptedFleet f;
        private final PriorityQueue<Event> queue =
                new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
        private final Map<String, Job> jobs = new LinkedHashMap<>();
        /** The birth that the platform's list shows of each worker. */
        private final Map<String, Long> entries = new LinkedHashMap<>();
        /** When each worker last returned. */
        private final Map<String, Long> returnedAt = new HashMap<>();

        private final Set<String> endedBeforeCopies = new HashSet<>();
        private final Set<Task> givenUp = new HashSet<>();
        /** The platform's lists that are under way. */
        private final List<InstanceList> listsUnderWay = new ArrayList<>();
        /** The last incarnation of each worker that has answered. */
        private final Map<String, Heard> heard = new HashMap<>();

        private final Deque<Set<String>> upBefore = new ArrayDeque<>();
        private final Map<FakeSchedulerPort, Integer> eventsSeen = new LinkedHashMap<>();
        private final double faultLevel;
        private final double listed;
        private long number;
        private int taken;
        final List<String> events = new ArrayList<>();
        final List<String> hanging = new ArrayList<>();
        final Map<String, Integer> counts = new TreeMap<>();

        History(long seed, Set<Option> options) {
            plan = new Random(seed * 2_654_435_761L);
            fates = new Random(seed * 40_503L + 17);
            this.options = options;
            f = new ScriptedFleet(plan.nextBoolean() ? 6_000 : 10_000, STEP_MILLIS);
            faultLevel = List.of(0.0, 1.0, 1.0, 3.0).get(plan.nextInt(4));
            listed = plan.nextInt(3) * 0.5;
            f.judge.trace = this::note;
            f.fates = this::fate;
        }

        private boolean with(Option o) {
            return options.contains(o);
        }

        private void note(String what) {
            events.add(String.format(Locale.ROOT, "%7d %s", f.now, what));
        }

        private void at(long millis, Runnable what) {
            queue.add(new Event(Math.max(millis, f.now), number++, what));
        }

        private long between(long from, long to) {
            return from + (long) (plan.nextDouble() * (to - from));
        }

        /** Draws a time of which each order of magnitude is equally likely. */
        private long spread(long from, long to) {
            return (long) (from * Math.pow((double) to / from, plan.nextDouble()));
        }

        private boolean chance(double p) {
            return plan.nextDouble() < p;
        }

        void play() {
            drawWorkers();
            int first = 1 + plan.nextInt(3);
            for (int i = 0; i < first; i++) {
                drawJob(between(50, 2_000), chance(0.5) ? "w1" : "");
            }
            int episodes = 1 + plan.nextInt(3);
            for (int i = 0; i < episodes; i++) {
                drawEpisode(between(2_500, FAULTS_UNTIL - 8_000));
            }
            at(FAULTS_UNTIL, () -> f.workers.forEach(this::list));
            at(WELL_AT, () -> f.workers.forEach(this::reconnect));
            long until = WELL_AT + WELL_MILLIS;
            while (f.now < until && !isOver()) {
                while (!queue.isEmpty() && Objects.requireNonNull(queue.peek()).at() <= f.now) {
                    queue.remove().what().run();
                }
                f.step();
                completeRuns();
                sendLateOrders();
                dropFormerOwners();
                if (f.now % 500 == 0) {
                    askForInstances();
                }
                noteSchedulerEvents();
            }
            jobs.keySet().forEach(this::checkEnd);
        }

        private boolean isOver() {
            return !f.judge.broken.isEmpty() && !overlaps().isEmpty()
                    || f.now >= WELL_AT + 2_000
                            && f.now % 1_000 == 0
                            && jobs.keySet().stream().allMatch(this::isWell);
        }

        private void drawWorkers() {
            int n = 2 + plan.nextInt(3);
            for (int i = 1; i <= n; i++) {
                double p = plan.nextDouble();
                long born = p < 0.7
                        ? FIRST_BIRTH
                        : p < 0.85 ? WorkerIncarnation.UNKNOWN_START : WorkerIncarnation.UNREADABLE_START;
                ScriptedWorker w = f.add("w" + i, born, spread(1_000, 5_000_000));
                w.progress = t -> percent(t, w.elapsedMillis(t));
                w.clockRate = chance(0.3) ? 0.98 : 1;
                if (i == n && n > 2 && chance(0.5)) {
                    at(between(3_000, 15_000), () -> list(w));
                } else {
                    entries.put(w.id, born);
                }
            }
            at(0, this::listAll);
        }

        private int percent(Task t, long elapsedMillis) {
            long millis = Objects.requireNonNull(jobs.get(t.job())).runMillis;
            return (int) (millis == Long.MAX_VALUE ? Math.min(100, elapsedMillis / 10) : 100 * elapsedMillis / millis);
        }

        private void list(ScriptedWorker w) {
            entries.put(w.id, w.born);
            note("entry: " + w + " born=" + w.born);
            listAll();
        }

        private void listAll() {
            List<WorkerFacts> all = entries.entrySet().stream()
                    .map(e -> SchedulerDriver.workerBornAt(e.getKey(), e.getValue()))
                    .toList();
            f.owners.forEach(o -> o.driver.scheduler.onWorkers(all));
        }

        private void drawJob(long submitAt, String worker) {
            boolean gang = chance(0.12);
            int count = gang ? 2 : 1 + plan.nextInt(2);
            boolean lasting = !gang && chance(0.4);
            long millis = lasting ? Long.MAX_VALUE : spread(500, 25_000);
            StepSpec.Builder step = StepSpec.builder(count, NEED)
                    .estimateMillis(lasting ? 0 : millis)
                    .gang(gang, false)
                    .longRunning(lasting, lasting ? 1 : 0);
            if (!worker.isEmpty()) {
                step.place("", "rack-" + worker);
            }
            String id = "j" + (jobs.size() + 1);
            Job job = new Job(step.build(), millis);
            jobs.put(id, job);
            at(submitAt, () -> {
                note("submitted: " + id + (lasting ? " lasting" : "") + (gang ? " gang" : "") + " tasks=" + count
                        + " near=" + worker + " takes=" + job.runMillis);
                taken = Math.max(taken, Integer.parseInt(id.substring(1)));
                submitted.add(id);
                f.driver().submit(id, job.step);
            });
        }

        private final Set<String> submitted = new java.util.LinkedHashSet<>();

        private void drawEpisode(long start) {
            ScriptedWorker w = f.workers.get(chance(0.6) ? 0 : plan.nextInt(f.workers.size()));
            long returns = drawRestart(w, start);
            if (chance(0.25)) {
                returns = drawRestart(w, returns + spread(20, 3_000));
            }
            if (chance(0.8)) {
                drawJob(returns + between(-100, 1_000), w.id);
            }
            if (chance(0.85)) {
                long cutAt = returns + spread(5, 3_000);
                long cutMillis = spread(50, MAX_LATE_MILLIS);
                at(cutAt, () -> {
                    w.cut = true;
                    note("cut: " + w);
                });
                at(cutAt + cutMillis, () -> reconnect(w));
                if (chance(0.15)) {
                    drawRestart(w, cutAt + between(0, cutMillis));
                }
            }
            if (with(Option.OWNERS) && chance(0.35)) {
                drawSuccession(start + between(-500, 6_000));
            }
        }

        private void reconnect(ScriptedWorker w) {
            if (w.cut) {
                w.cut = false;
                note("reconnected: " + w);
            }
        }

        /** Draws a restart, and returns when the next incarnation begins. */
        private long drawRestart(ScriptedWorker w, long start) {
            long down = with(Option.DOWN) && chance(0.4) ? spread(20, 6_000) : 0;
            long returns = start + down;
            double clock = plan.nextDouble();
            long offset =
                    clock < 0.4 ? spread(1, 50_000) : clock < 0.7 ? spread(3_000, 7_000_000) : between(-3_000, 3_000);
            double birth = plan.nextDouble();
            if (down > 0) {
                at(start, () -> {
                    note("crashed: " + w);
                    w.crash();
                });
            }
            at(returns, () -> {
                long next = clock < 0.4 ? offset : Math.max(0, w.clock() + offset);
                long born = nextBirth(w, birth);
                Heard last = lastHeard(w);
                long known = last.clock + (long) ((f.now - last.endedAt) * w.clockRate);
                boolean shown = (last.born > 0 && born > 0) || next < known;
                w.restart(born, shown || with(Option.UNSEEN_RESTARTS) ? next : known / 2);
                returnedAt.put(w.id, f.now);
                note("restarted: " + w + " clock=" + w.clock() + " born=" + w.born);
            });
            double entry = plan.nextDouble();
            if (entry < 0.6) {
                at(returns + (entry < 0.3 ? between(0, 300) : between(300, 10_000)), () -> list(w));
            } else if (entry < 0.75) {
                at(returns - between(0, 500), () -> {
                    entries.put(w.id, nextBirth(w, birth));
                    note("entry early: " + w.id + " born=" + entries.get(w.id));
                    listAll();
                });
            }
            return returns;
        }

        private Heard lastHeard(ScriptedWorker w) {
            Heard present = new Heard(w.born, w.clock(), f.now);
            if (w.firstAnswerAt >= 0) {
                heard.put(w.id, present);
            }
            return heard.getOrDefault(w.id, present);
        }

        /** Returns the birth of the next incarnation; the list may show it before it begins. */
        private long nextBirth(ScriptedWorker w, double drawn) {
            long stated = FIRST_BIRTH + 60_000L * w.incarnation;
            if (drawn < 0.05) {
                return WorkerIncarnation.UNKNOWN_START;
            }
            if (drawn < 0.1) {
                return WorkerIncarnation.UNREADABLE_START;
            }
            if (drawn < 0.15) {
                return FIRST_BIRTH - 1_000L * w.incarnation;
            }
            return w.born > 0 || drawn < 0.2 ? stated : w.born;
        }

        private void drawSuccession(long millis) {
            double p = plan.nextDouble();
            long goesOn = p < 0.5 ? 0 : p < 0.9 ? spread(50, 3_000) : between(3_000, 9_000);
            at(millis, () -> {
                Owner former = f.owners.get(f.owners.size() - 1);
                Owner o = f.addOwner();
                note("owner " + o.token + " succeeds, the former one goes on for " + goesOn);
                listAll();
                for (String id : submitted) {
                    f.driver().submit(id, f.stored.get(id), Objects.requireNonNull(jobs.get(id)).step);
                }
                at(f.now + goesOn, () -> f.owners.remove(former));
                if (goesOn == 0) {
                    f.owners.remove(former);
                }
            });
        }

        private void dropFormerOwners() {
            for (Owner o : List.copyOf(f.owners)) {
                if (!o.driver.port.lost.isEmpty() && o.driver != f.driver()) {
                    note("owner " + o.token + " ends: " + o.driver.port.lost);
                    f.owners.remove(o);
                }
            }
        }

        private Fate fate(Object order, ScriptedWorker w) {
            Fate fate = drawFate(order, w);
            if (!(order instanceof HoldOrder) || fate != Fate.AT_ONCE) {
                note("sent to " + w + (w.cut ? ", cut" : "") + (w.down ? ", down" : "") + ": " + describe(order) + " "
                        + fate);
            }
            return fate;
        }

        private Fate drawFate(Object order, ScriptedWorker w) {
            double p = fates.nextDouble();
            if (f.now > FAULTS_UNTIL) {
                return Fate.AT_ONCE;
            }
            double level = faultLevel * (order instanceof HoldOrder ? 0.3 : 1);
            Long returned = returnedAt.get(w.id);
            if (returned != null && f.now - returned < 1_500) {
                level *= 2;
            }
            double lost = 0.04 * level;
            double late = with(Option.LATE) ? 0.05 * level : 0;
            double answerLost = 0.05 * level;
            if (p < lost) {
                return Fate.LOST;
            }
            if (p < lost + answerLost) {
                return Fate.ANSWER_LOST;
            }
            return p < lost + answerLost + late ? Fate.LATE : Fate.AT_ONCE;
        }

        private static String describe(Object order) {
            if (order instanceof StartOrder s) {
                return "start " + s.jobId() + "." + s.task() + "/" + s.run() + " deadline=" + s.deadlineMillis()
                        + " fence=" + s.fence();
            }
            if (order instanceof StopOrder s) {
                return "stop " + s.jobId() + "." + s.task() + "/" + s.run() + " fence=" + s.fence();
            }
            HoldOrder h = (HoldOrder) order;
            return "hold deadline=" + h.deadlineMillis() + " fence=" + h.fence();
        }

        private void sendLateOrders() {
            for (List<Call> late : List.of(f.lateStarts, f.lateStops, f.lateHolds)) {
                for (Call c : late) {
                    long delay = (long) (20 * Math.pow(MAX_LATE_MILLIS / 20.0, fates.nextDouble()));
                    at(f.now + delay, () -> executeLate(c));
                }
                late.clear();
            }
        }

        private void executeLate(Call c) {
            ScriptedWorker w = c.worker;
            boolean unheard = w.incarnation != c.incarnation && w.firstAnswerAt < 0;
            String how = "";
            if (unheard && c.order instanceof StartOrder s && (isEnded(s) || isShownDown(c))) {
                how = "open late start";
                count(how);
                if (!with(Option.OPEN_LATE_STARTS)) {
                    return;
                }
            } else if (unheard && c.order instanceof HoldOrder) {
                how = "open late hold";
                count(how);
                if (!with(Option.OPEN_LATE_HOLDS)) {
                    return;
                }
            }
            note("late to " + w + (w.cut ? ", cut" : "") + (w.down ? ", down" : "") + " clock=" + w.clock() + ": "
                    + describe(c.order) + " sent at " + c.sentAt + " " + how);
            f.carryOutUnlessDown(c);
        }

        /** Returns whether the run was done, stopped, or given up by the list of instances. */
        private boolean isEnded(StartOrder s) {
            return f.judge.isNoted(new Task(s.jobId(), s.task()))
                    || endedBeforeCopies.contains(s.jobId() + "." + s.task() + "/" + s.run());
        }

        /** Returns whether a list is under way that shows the worker down, and was asked for long after the start. */
        private boolean isShownDown(Call c) {
            return listsUnderWay.stream()
                    .anyMatch(l ->
                            !l.up.contains(c.worker.id) && l.askedAt >= c.sentAt + ScriptedFleet.CALL_MILLIS + 2_700);
        }

        private void count(String what) {
            counts.merge(what, 1, Integer::sum);
        }

        private void noteSchedulerEvents() {
            for (Owner o : f.owners) {
                List<SchedulerEvent> all = o.driver.port.events;
                for (int i = eventsSeen.getOrDefault(o.driver.port, 0); i < all.size(); i++) {
                    SchedulerEvent e = all.get(i);
                    String task = e.job() == null ? "" : e.job().id() + "." + e.task() + "/" + e.run();
                    if (e.kind() == SchedulerEvent.Kind.RUN_ENDED
                            && (e.outcome().equals("NEVER_BEGAN")
                                    || e.outcome().equals(EndKind.STOPPED.name())
                                    || isProven(e.detail()))) {
                        endedBeforeCopies.add(task);
                    }
                    if (e.kind() == SchedulerEvent.Kind.TASK_GIVEN_UP) {
                        givenUp.add(new Task(Objects.requireNonNull(e.job()).id(), Objects.requireNonNull(e.task())));
                    }
                    if (e.kind() == SchedulerEvent.Kind.JOB_ENDED && e.outcome().equals(JobState.FAILED.name())) {
                        count("jobs given up");
                    }
                    note("owner " + o.token + ": " + e.kind() + " " + task + " " + e.worker() + " " + e.outcome() + " "
                            + e.detail());
                }
                eventsSeen.put(o.driver.port, all.size());
            }
        }

        private static boolean isProven(String detail) {
            return Stream.of(LossEvidence.values()).anyMatch(l -> l.provesEnd() && detail.contains(l.toString()));
        }

        private void completeRuns() {
            for (ScriptedWorker w : f.workers) {
                for (Task t : w.tasks()) {
                    if (w.elapsedMillis(t) >= Objects.requireNonNull(jobs.get(t.job())).runMillis) {
                        w.end(t, EndKind.DONE);
                    }
                }
            }
        }

        /** Requests a list, which may be older than the request. */
        private void askForInstances() {
            Set<String> up = new HashSet<>();
            f.workers.stream().filter(w -> !w.down).forEach(w -> up.add(w.id));
            upBefore.addFirst(up);
            if (upBefore.size() > 4) {
                upBefore.removeLast();
            }
            Owner o = f.owners.get(f.owners.size() - 1);
            if (with(Option.INSTANCES)
                    && fates.nextDouble() < listed
                    && o.driver.scheduler.hasSilentWorkersWithTasks()) {
                Set<String> list = new ArrayList<>(upBefore).get(fates.nextInt(upBefore.size()));
                long askedAt = o.driver.now;
                InstanceList underWay = new InstanceList(list, f.now);
                listsUnderWay.add(underWay);
                at(f.now + 50 + fates.nextInt(800), () -> {
                    listsUnderWay.remove(underWay);
                    note("instances: " + list + " asked " + (o.driver.now - askedAt) + " ms ago");
                    o.driver.scheduler.onRunningWorkers(list, askedAt);
                });
            }
        }

        private boolean isWell(String job) {
            JobProgress p = f.stored.get(job);
            if (p != null && p.state() == JobState.FAILED) {
                return true;
            }
            StepSpec step = Objects.requireNonNull(jobs.get(job)).step;
            if (step.gang() && p != null && p.state() == JobState.COMPLETED) {
                // The first member that is done completes its gang.
                return true;
            }
            int count = step.count();
            for (int i = 0; i < count; i++) {
                Task t = new Task(job, new TaskId(0, 0, i));
                if (!f.judge.isDone(t)
                        && !givenUp.contains(t)
                        && f.workers.stream().noneMatch(w -> w.tasks().contains(t))) {
                    return false;
                }
            }
            return true;
        }

        private void checkEnd(String job) {
            if (overlaps().isEmpty() && !isWell(job)) {
                hanging.add(job + " neither runs nor is done");
            }
        }

        /** Returns the runs that began too early. A run that is cut off when it ends may be repeated. */
        private List<String> overlaps() {
            return f.judge.broken.stream()
                    .filter(b -> !b.endsWith("acknowledged later"))
                    .toList();
        }

        List<String> faults() {
            List<String> all = new ArrayList<>(overlaps());
            all.addAll(hanging);
            if (!f.driver().port.lost.isEmpty()) {
                all.add("the newest owner ended: " + f.driver().port.lost);
            }
            return all;
        }

        Set<String> kinds() {
            Set<String> kinds = new HashSet<>();
            for (String s : faults()) {
                kinds.add(
                        s.contains(" while ")
                                ? "OVERLAP"
                                : s.contains("acknowledged")
                                        ? "AFTER_DONE"
                                        : s.contains("neither") ? "HANGS" : "OTHER");
            }
            return kinds;
        }
    }
}
