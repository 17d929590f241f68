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
package org.lupinpaddle.model;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.placement.StepRepetition;
import org.lupinpaddle.core.run.AdviceRequest;
import org.lupinpaddle.core.run.AdviceResult;
import org.lupinpaddle.core.run.StartOrder;
import org.lupinpaddle.daemon.port.AdviceService;

/**
 * An advice service and the queue that requires it, which has a peak of jobs. The service processes the calls of an entry
 * one after the other, whether or not their caller still waits, and refuses further ones while too many wait. For some
 * time it becomes slower, loses calls or refuses all.
 */
final class SimAdvice {

    private static final long SEED = 0xad71ce;
    private static final int FIRST_PEAK_CALLER = 1_000;
    private static final int MIN_PEAK_JOBS = 20;
    private static final int PEAK_JOBS_RANGE = 21;
    private static final int PEAK_MILLIS = 3_000;
    private static final int MAX_WAITING = 32;
    private static final long MIN_CALL_TIMEOUT_MILLIS = 3_000;
    private static final long MAX_CALL_TIMEOUT_MILLIS = 30_000;
    private static final int SLOWNESS = 10;
    private static final int MAX_CHANGES = 3;
    /** By how much a change reaches the workers before or after the configuration. */
    private static final int CHANGE_SPREAD_MILLIS = 2_000;
    /** One of so many workers may not run a step. */
    private static final int REFUSED_ONE_IN = 5;

    private static final StepSpec.Need PEAK_NEED = new StepSpec.Need(50, 32, 0);

    private final World world;
    private final Random random;
    private final long decideMillis;
    private final long eachMillis;
    private final long validMillis;
    /** After how long a call ends without an answer. */
    private final long callTimeoutMillis;

    private final boolean refusesForLongRunning;
    private final Map<String, Line> lines = new HashMap<>();
    private Trouble trouble = Trouble.NONE;
    /** Whether the configuration requires advice for the queue, and whether workers reject starts without it. */
    private boolean required = true;

    private boolean requiredByWorkers = true;

    /** How the service misbehaves. */
    private enum Trouble {
        NONE,
        SLOW,
        CALLS_LOST,
        REFUSING
    }

    /** The calls of one entry that the service has not processed. */
    private static final class Line {
        int waiting;
        long busyUntil;
    }

    /**
     * Creates the service.
     *
     * @param refusesForLongRunning whether it also refuses workers for long-running steps, whose tasks stand apart
     */
    SimAdvice(World world, long seed, boolean refusesForLongRunning) {
        this.world = world;
        this.refusesForLongRunning = refusesForLongRunning;
        random = new Random(seed ^ SEED);
        decideMillis = 50 + random.nextInt(150);
        eachMillis = 1 + random.nextInt(10);
        validMillis = 2_000 + random.nextInt(3_000);
        callTimeoutMillis = random.nextBoolean() ? MIN_CALL_TIMEOUT_MILLIS : MAX_CALL_TIMEOUT_MILLIS;
    }

    void plan(long from, long millis, boolean hasTroubles) {
        long peakAt = from + random.nextInt((int) millis - PEAK_MILLIS);
        int jobs = MIN_PEAK_JOBS + random.nextInt(PEAK_JOBS_RANGE);
        for (int i = 0; i < jobs; i++) {
            int number = FIRST_PEAK_CALLER + i;
            world.time.schedule(peakAt + random.nextInt(PEAK_MILLIS), () -> submit(number));
        }
        if (hasTroubles) {
            long startsAt = peakAt - PEAK_MILLIS + random.nextInt(3 * PEAK_MILLIS);
            long lasts = 1_000 + random.nextInt(5_000);
            Trouble next = Trouble.values()[random.nextInt(Trouble.values().length)];
            world.time.schedule(startsAt, () -> change(next));
            world.time.schedule(startsAt + lasts, () -> change(Trouble.NONE));
        }
    }

    /** Plans configurations in which the queue requires advice or does not, while it has jobs. */
    void planChanges(long from, long millis) {
        required = random.nextBoolean();
        requiredByWorkers = required;
        boolean next = required;
        int changes = 1 + random.nextInt(MAX_CHANGES);
        long part = millis / changes;
        for (int i = 0; i < changes; i++) {
            next = !next;
            boolean advised = next;
            long at = from + i * part;
            world.time.schedule(at + random.nextInt(CHANGE_SPREAD_MILLIS), () -> configure(advised));
            world.time.schedule(at + random.nextInt(CHANGE_SPREAD_MILLIS), () -> requiredByWorkers = advised);
        }
    }

    private void configure(boolean advised) {
        required = advised;
        world.history.add("advice required: " + advised);
        world.writeConfiguration();
    }

    /** Returns whether the configuration requires advice for the queue. */
    boolean isRequired() {
        return required;
    }

    private void change(Trouble next) {
        trouble = next;
        world.history.add("advice service: " + next);
    }

    private void submit(int number) {
        StepSpec step = StepSpec.builder(1, PEAK_NEED).estimateMillis(500).build();
        new SimCaller(world, world.history, number, queue(), world.singleStepJob(number, step), false).submit();
    }

    /** Returns the name of the queue that requires advice. */
    String queue() {
        return world.site.services().get(0);
    }

    /** Returns the service as an entry reaches it. */
    AdviceService portOf(String entry) {
        return request -> call(lines.computeIfAbsent(entry, e -> new Line()), request);
    }

    private CompletableFuture<AdviceResult> call(Line line, AdviceRequest request) {
        CompletableFuture<AdviceResult> result = new CompletableFuture<>();
        world.time.schedule(
                callTimeoutMillis, () -> result.complete(AdviceResult.none(AdviceResult.Outcome.UNANSWERED)));
        if (trouble != Trouble.CALLS_LOST) {
            world.time.schedule(world.net.latency(), () -> arrive(line, request, result));
        }
        return result;
    }

    private void arrive(Line line, AdviceRequest request, CompletableFuture<AdviceResult> result) {
        if (trouble == Trouble.REFUSING || line.waiting >= MAX_WAITING) {
            answer(result, AdviceResult.none(AdviceResult.Outcome.REJECTED));
            return;
        }
        long millis = decideMillis + eachMillis * request.workers().size();
        long duration = trouble == Trouble.SLOW ? SLOWNESS * millis : millis;
        line.waiting++;
        line.busyUntil = Math.max(line.busyUntil, world.time.now()) + duration;
        world.time.schedule(line.busyUntil - world.time.now(), () -> {
            line.waiting--;
            answer(result, decide(request));
        });
    }

    private void answer(CompletableFuture<AdviceResult> result, AdviceResult answer) {
        world.time.schedule(world.net.latency(), () -> result.complete(answer));
    }

    private AdviceResult decide(AdviceRequest request) {
        Map<String, String> tickets = new HashMap<>();
        request.workers().stream()
                .filter(w -> mayRun(request.step(), w))
                .forEach(w -> tickets.put(w, ticket(request.step(), w, world.time.now() + validMillis)));
        return AdviceResult.answered(tickets, validMillis);
    }

    private boolean mayRun(StepRepetition step, String worker) {
        Rules.TrackedJob job = world.rules.job(step.job().id());
        if (job != null && job.isLongRunning() && !refusesForLongRunning) {
            return true;
        }
        int number = Integer.parseInt(worker.replaceAll("\\D", ""));
        return number % REFUSED_ONE_IN != Math.floorMod(step.hashCode(), REFUSED_ONE_IN);
    }

    private static String ticket(StepRepetition step, String worker, long validUntil) {
        return step.job().id() + "." + step.repetition() + "." + step.step() + "/" + worker + "/" + validUntil;
    }

    /** Returns whether a worker accepts the ticket of a start, or needs none. */
    boolean allows(StartOrder o) {
        Rules.TrackedJob job = world.rules.job(o.jobId());
        if (job == null || !job.service.equals(queue()) || !requiredByWorkers) {
            return true;
        }
        int slash = o.ticket().lastIndexOf('/');
        String holder = o.jobId() + "." + o.task().time() + "." + o.task().step() + "/"
                + o.worker().id();
        return slash > 0
                && o.ticket().substring(0, slash).equals(holder)
                && world.time.now() <= Long.parseLong(o.ticket().substring(slash + 1));
    }
}
