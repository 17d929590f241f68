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

import java.util.List;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.job.Submission;
import org.lupinpaddle.core.queue.CallerRequest;
import org.lupinpaddle.core.workspace.KeyDigest;
import org.lupinpaddle.daemon.jobs.JobAnswer;
import org.lupinpaddle.daemon.jobs.JobIntake;
import org.lupinpaddle.daemon.jobs.SubmitOutcome;

/**
 * A caller with one job. It retries the submission until the result is known, polls the job's state, and sometimes
 * cancels the job.
 */
final class SimCaller {

    private static final long CALL_TIMEOUT_MILLIS = 3_000;
    private static final long POLL_MILLIS = 1_500;
    private static final long VISIBLE_MILLIS = 3_000;
    private static final int MAX_ATTEMPTS = 5;
    private static final int CANCEL_ONE_IN = 8;
    private static final int EARLY_CANCEL_ONE_IN = 4;
    private static final int MAX_EARLY_CANCEL_MILLIS = 2_000;

    private final World world;
    private final History history;
    private final String id;
    private final int number;
    private final String path;
    private final Submission submission;
    private final boolean mayCancel;
    private final Rules.TrackedJob job;
    private int attempts;
    private boolean mayBeAccepted;
    private boolean ended;

    SimCaller(World world, History history, int number) {
        this(world, history, number, world.service(number), world.submission(number), true);
    }

    SimCaller(World world, History history, int number, String service, Submission submission, boolean mayCancel) {
        this.world = world;
        this.history = history;
        this.id = String.format("%016x", 0xabc000L + number);
        this.number = number;
        this.path = "/" + service + "/" + id;
        this.submission = submission;
        this.mayCancel = mayCancel;
        this.job = world.rules.track(id, service, world.maxAttempts(), submission);
        job.alwaysFails = submission.text().startsWith("hopeless");
        world.workspaces().ifPresent(w -> job.workspace = w.nameOf(number));
    }

    private CallerRequest request() {
        KeyDigest key = world.workspaces().map(w -> w.keyOf(number)).orElse(null);
        return new CallerRequest("host", path, key);
    }

    String id() {
        return id;
    }

    void submit() {
        if (job.cancelSent) {
            return;
        }
        if (attempts == 0) {
            job.submittedAt = world.time.now();
            world.earlyCancellations()
                    .filter(r -> r.nextInt(EARLY_CANCEL_ONE_IN) == 0)
                    .ifPresent(r -> world.time.schedule(r.nextInt(MAX_EARLY_CANCEL_MILLIS), this::cancel));
        }
        attempts++;
        SimEntry e = pickEntry();
        boolean[] answered = new boolean[1];
        CallerRequest request = request();
        long sentAt = world.time.now();
        Consumer<SubmitOutcome> answerOnce = o -> {
            if (!answered[0]) {
                answered[0] = true;
                checkKey(o, request.key(), sentAt);
                onSubmitResult(o);
            }
        };
        if (e != null) {
            callEntry(
                    e,
                    i -> i.submit(request, id, submission)
                            .thenAccept(o -> world.time.schedule(world.net.latency(), () -> {
                                if (e.isUp()) {
                                    answerOnce.accept(o);
                                }
                            })));
        }
        world.time.schedule(CALL_TIMEOUT_MILLIS, () -> answerOnce.accept(SubmitOutcome.UNKNOWN));
    }

    /** Repeats the submission of the accepted job, as a caller does whose answer was lost on the way. */
    private void submitAgain() {
        SimEntry e = pickEntry();
        if (e != null) {
            CallerRequest request = request();
            callEntry(
                    e,
                    i -> i.submit(request, id, submission)
                            .thenAccept(o -> history.add("submit " + id + " again: " + o)));
        }
    }

    private void checkKey(SubmitOutcome o, @Nullable KeyDigest key, long sentAt) {
        world.workspaces().ifPresent(w -> {
            if (o == SubmitOutcome.ACCEPTED) {
                w.checkAccepted(id, key, sentAt);
            } else if (o == SubmitOutcome.UNKNOWN_KEY) {
                w.checkRefused(id, key, sentAt);
            }
        });
    }

    private void callEntry(SimEntry e, Consumer<JobIntake> call) {
        VirtualLoop loop = e.loop();
        world.time.schedule(
                world.net.latency(),
                () -> loop.execute(() -> {
                    if (e.node().intake().isConfigured()) {
                        call.accept(e.node().intake());
                    }
                }));
    }

    private @Nullable SimEntry pickEntry() {
        List<SimEntry> ready = world.entries.stream()
                .filter(e -> e.isUp() && e.node().isReady())
                .toList();
        List<SimEntry> candidates =
                ready.isEmpty() ? world.entries.stream().filter(SimEntry::isUp).toList() : ready;
        return candidates.isEmpty() ? null : candidates.get(world.random.nextInt(candidates.size()));
    }

    private void onSubmitResult(SubmitOutcome o) {
        history.add("submit " + id + " try " + attempts + ": " + o);
        if (o == SubmitOutcome.ACCEPTED) {
            job.accepted = true;
            job.acceptedAt = world.time.now();
            world.time.schedule(POLL_MILLIS, this::poll);
            world.reroutes().ifPresent(r -> r.planRepeats(this::submitAgain));
            if (mayCancel && world.random.nextInt(CANCEL_ONE_IN) == 0) {
                world.time.schedule(world.random.nextInt(4_000), this::cancel);
            }
            return;
        }
        mayBeAccepted |= o == SubmitOutcome.UNKNOWN;
        if (attempts < MAX_ATTEMPTS) {
            world.time.schedule(500, this::submit);
        } else {
            job.allRefused = !mayBeAccepted;
        }
    }

    private void poll() {
        if (ended) {
            return;
        }
        SimEntry e = pickEntry();
        if (e != null) {
            callEntry(
                    e,
                    i -> i.admit(request()).thenAccept(admission -> {
                        if (admission.isAdmitted()) {
                            i.state(admission, id).thenAccept(a -> world.time.schedule(1, () -> onState(a)));
                        }
                    }));
        }
        world.time.schedule(POLL_MILLIS, this::poll);
    }

    private void onState(JobAnswer a) {
        if (!a.known()) {
            return;
        }
        if (a.state().isEmpty()) {
            if (world.time.now() - job.acceptedAt > VISIBLE_MILLIS) {
                world.rules.onReportedUnknown(job);
            }
            return;
        }
        JobState s = a.state().get();
        if (s == JobState.COMPLETED) {
            world.rules.onReportedCompleted(job);
        } else if (s == JobState.FAILED) {
            world.rules.onReportedFailed(job);
        } else if (s == JobState.CANCELLED) {
            world.rules.require(Rules.Rule.LOST, job.cancelSent, id + " is said to be cancelled; nobody did");
        }
        if (s.ended() && !ended) {
            ended = true;
            history.add("told " + id + ": " + s);
        }
    }

    private void cancel() {
        if (ended) {
            return;
        }
        job.cancelSent = true;
        SimEntry e = pickEntry();
        if (e != null) {
            callEntry(
                    e,
                    i -> i.admit(request()).thenAccept(admission -> {
                        if (admission.isAdmitted()) {
                            i.cancel(admission, id).thenAccept(this::onCancelResult);
                        }
                    }));
        }
        world.time.schedule(CALL_TIMEOUT_MILLIS, () -> {
            if (job.cancelAnsweredAt == World.NEVER) {
                cancel();
            }
        });
    }

    private void onCancelResult(JobAnswer a) {
        if (a.known() && job.cancelAnsweredAt == World.NEVER) {
            job.cancelAnsweredAt = world.time.now();
            history.add("cancelled " + id);
        }
    }
}
