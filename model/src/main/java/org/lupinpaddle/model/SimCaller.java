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

/** A caller with one job: hands it in until it knows, asks how it stands, sometimes cancels it. */
final class SimCaller {

    private static final long PATIENCE_MILLIS = 3_000;
    private static final long ASK_MILLIS = 1_500;
    private static final long VISIBLE_MILLIS = 3_000;
    private static final int MOST_TRIES = 5;
    private static final int CANCEL_ONE_IN = 8;

    private final World world;
    private final History history;
    private final String id;
    private final int number;
    private final String path;
    private final Submission submission;
    private final boolean mayCancel;
    private final Rules.JobTruth truth;
    private int tries;
    private boolean mayBeTaken;
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
        this.truth = world.rules.submitted(id, service, world.maxAttempts(), submission);
        truth.hopeless = submission.text().startsWith("hopeless");
        world.workspaces().ifPresent(w -> truth.workspace = w.nameOf(number));
    }

    private CallerRequest request() {
        KeyDigest key = world.workspaces().map(w -> w.keyOf(number)).orElse(null);
        return new CallerRequest("host", path, key);
    }

    String id() {
        return id;
    }

    void submit() {
        if (tries == 0) {
            truth.handedInAt = world.time.now();
        }
        tries++;
        SimEntry e = someEntry();
        boolean[] answered = new boolean[1];
        CallerRequest request = request();
        long sentAt = world.time.now();
        Consumer<SubmitOutcome> once = o -> {
            if (!answered[0]) {
                answered[0] = true;
                checkKey(o, request.key(), sentAt);
                submitted(o);
            }
        };
        if (e != null) {
            onEntry(
                    e,
                    i -> i.submit(request, id, submission)
                            .thenAccept(o -> world.time.after(world.net.latency(), () -> {
                                if (e.isUp()) {
                                    once.accept(o);
                                }
                            })));
        }
        world.time.after(PATIENCE_MILLIS, () -> once.accept(SubmitOutcome.UNKNOWN));
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

    private void onEntry(SimEntry e, Consumer<JobIntake> what) {
        VirtualLoop loop = e.loop();
        world.time.after(
                world.net.latency(),
                () -> loop.execute(() -> {
                    if (e.node().intake().isConfigured()) {
                        what.accept(e.node().intake());
                    }
                }));
    }

    private @Nullable SimEntry someEntry() {
        List<SimEntry> ready = world.entries.stream()
                .filter(e -> e.isUp() && e.node().isReady())
                .toList();
        List<SimEntry> from =
                ready.isEmpty() ? world.entries.stream().filter(SimEntry::isUp).toList() : ready;
        return from.isEmpty() ? null : from.get(world.random.nextInt(from.size()));
    }

    private void submitted(SubmitOutcome o) {
        history.add("submit " + id + " try " + tries + ": " + o);
        if (o == SubmitOutcome.ACCEPTED) {
            truth.accepted = true;
            truth.acceptedAt = world.time.now();
            world.time.after(ASK_MILLIS, this::ask);
            if (mayCancel && world.random.nextInt(CANCEL_ONE_IN) == 0) {
                world.time.after(world.random.nextInt(4_000), this::cancel);
            }
            return;
        }
        mayBeTaken |= o == SubmitOutcome.UNKNOWN;
        if (tries < MOST_TRIES) {
            world.time.after(500, this::submit);
        } else {
            truth.allRefused = !mayBeTaken;
        }
    }

    private void ask() {
        if (ended) {
            return;
        }
        SimEntry e = someEntry();
        if (e != null) {
            onEntry(
                    e,
                    i -> i.admit(request()).thenAccept(admission -> {
                        if (admission.isAdmitted()) {
                            i.state(admission, id).thenAccept(a -> world.time.after(1, () -> told(a)));
                        }
                    }));
        }
        world.time.after(ASK_MILLIS, this::ask);
    }

    private void told(JobAnswer a) {
        if (!a.known()) {
            return;
        }
        if (a.state().isEmpty()) {
            if (world.time.now() - truth.acceptedAt > VISIBLE_MILLIS) {
                world.rules.toldUnknown(truth);
            }
            return;
        }
        JobState s = a.state().get();
        if (s == JobState.COMPLETED) {
            world.rules.toldCompleted(truth);
        } else if (s == JobState.FAILED) {
            world.rules.toldFailed(truth);
        } else if (s == JobState.CANCELLED) {
            world.rules.require(Rules.Rule.LOST, truth.cancelSent, id + " is said to be cancelled; nobody did");
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
        truth.cancelSent = true;
        SimEntry e = someEntry();
        if (e != null) {
            onEntry(
                    e,
                    i -> i.admit(request()).thenAccept(admission -> {
                        if (admission.isAdmitted()) {
                            i.cancel(admission, id).thenAccept(this::cancelled);
                        }
                    }));
        }
        world.time.after(PATIENCE_MILLIS, () -> {
            if (truth.cancelAnsweredAt == World.NEVER) {
                cancel();
            }
        });
    }

    private void cancelled(JobAnswer a) {
        if (a.known() && truth.cancelAnsweredAt == World.NEVER) {
            truth.cancelAnsweredAt = world.time.now();
            history.add("cancelled " + id);
        }
    }
}
