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

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.run.LiveTask.Phase;

/**
 * Tells why tasks whose turn has come have no confirmed run, and since when. The reasons are those by which placement
 * and release decide; nothing is decided here. A review looks at all tasks in progress, so it is made once a second
 * and not in each tick, and it determines the reasons of few tasks only.
 */
final class RunWaits {

    // The time for which the platform allows a long-running task to have no run.
    private static final long OVERDUE_MILLIS = 6_000;
    private static final long NOTE_INTERVAL_MILLIS = 10_000;
    // Hundreds of tasks may lose their runs together.
    private static final int MAX_NOTES_PER_REVIEW = 5;

    private final ServiceState state;
    private final Advisor advisor;
    private final CordonWaits cordonWaits;
    /** The overdue long-running tasks. */
    private final Map<LiveTask, Overdue> overdue = new HashMap<>();

    private LoadSummary.Waits summary = LoadSummary.Waits.NONE;

    /** A task and since when it has had no confirmed run. */
    private record Wait(LiveTask task, long since) {

        boolean isLongerThan(@Nullable Wait other) {
            return other == null || since < other.since;
        }
    }

    /** An overdue wait and when it is to be noted next. */
    private record Overdue(Wait missing, long nextNoteAt) {}

    RunWaits(ServiceState state, Advisor advisor, CordonWaits cordonWaits) {
        this.state = state;
        this.advisor = advisor;
        this.cordonWaits = cordonWaits;
    }

    /** Returns the result of the last review. */
    LoadSummary.Waits summary() {
        return summary;
    }

    /** Finds all waits, and notes some of the overdue ones whose time to be noted has come. */
    void review() {
        List<Wait> longRunning = new ArrayList<>();
        Wait longest = null;
        for (LiveStep s : readySteps()) {
            long dueSince = dueSince(s);
            for (LiveTask t : s.tasks) {
                if (lacksRun(t)) {
                    Wait w = new Wait(t, t.lastRunningAt == LiveWorker.NEVER ? dueSince : t.lastRunningAt);
                    if (t.step.longRunning()) {
                        longRunning.add(w);
                    } else if (w.isLongerThan(longest)) {
                        longest = w;
                    }
                }
            }
        }
        Wait longestLongRunning =
                longRunning.stream().min(Comparator.comparingLong(Wait::since)).orElse(null);
        List<LiveWorker> usable = state.usableWorkers();
        summary = new LoadSummary.Waits(
                longRunning.size(), describe(longestLongRunning, usable), describe(longest, usable));
        noteOverdue(longRunning, usable);
    }

    private List<LiveStep> readySteps() {
        long wallMillis = state.wallNow();
        return state.activeJobs.values().stream()
                .flatMap(LiveJob::steps)
                .filter(s -> !s.isDone() && s.isReady(wallMillis))
                .toList();
    }

    /** Returns since when the tasks of the step may start, by the owner's clock. */
    private long dueSince(LiveStep s) {
        OptionalLong readySince = s.readySince();
        return readySince.isPresent()
                ? readySince.getAsLong()
                : state.now() - (state.wallNow() - s.job.dueMillis(s.time));
    }

    /** Returns whether the task needs a run and has none that its worker has confirmed lately. */
    private boolean lacksRun(LiveTask t) {
        if (t.needsNoRun()) {
            return false;
        }
        return t.phase != Phase.RUNNING || t.worker == null || state.isSilent(t.worker);
    }

    private LoadSummary.@Nullable Wait describe(@Nullable Wait w, List<LiveWorker> usable) {
        if (w == null) {
            return null;
        }
        LiveTask t = w.task;
        return new LoadSummary.Wait(t.job.spec.key(), t.id, reason(t, usable), state.now() - w.since);
    }

    private void noteOverdue(List<Wait> longRunning, List<LiveWorker> usable) {
        long now = state.now();
        Map<LiveTask, Overdue> known = new HashMap<>(overdue);
        overdue.clear();
        for (Wait w : longRunning) {
            if (now - w.since >= OVERDUE_MILLIS) {
                Overdue earlier = known.get(w.task);
                boolean isKnown = earlier != null && earlier.missing.since == w.since;
                overdue.put(w.task, isKnown ? earlier : new Overdue(w, w.since + OVERDUE_MILLIS));
            }
        }
        overdue.values().stream()
                .filter(o -> now >= o.nextNoteAt)
                .sorted(Comparator.comparingLong(Overdue::nextNoteAt))
                .limit(MAX_NOTES_PER_REVIEW)
                .toList()
                .forEach(o -> {
                    note(o.missing, usable);
                    overdue.put(o.missing.task, new Overdue(o.missing, now + NOTE_INTERVAL_MILLIS));
                });
    }

    private void note(Wait w, List<LiveWorker> usable) {
        LiveTask t = w.task;
        StepRoom room = StepRoom.of(t, state.now());
        long withRoom = usable.stream()
                .filter(u -> room.fitsOne(u, LiveWorker::roomFor))
                .count();
        String detail = "without-run-millis=" + (state.now() - w.since) + " phase=" + t.phase + worker(t) + " usable="
                + usable.size() + " with-room=" + withRoom + " unusable=" + unusable();
        state.note(SchedulerEvent.Kind.RUN_OVERDUE, t, reason(t, usable).name(), detail);
    }

    /** Describes the task's worker and the evidence about it; of a waiting task, only its last worker is known. */
    private String worker(LiveTask t) {
        LiveWorker w = t.worker;
        if (w == null) {
            String last = t.incarnation.id();
            return last.isEmpty() ? "" : " last-worker=" + last;
        }
        long now = state.now();
        String answered = w.lastResponseAt() == LiveWorker.NEVER ? "never" : String.valueOf(now - w.lastResponseAt());
        String inherited = t.inherited ? " earlier-owners-end-in-millis=" + (t.inheritedUntil - now) : "";
        return " listed=" + w.listed + " answered-millis-ago=" + answered + " runs-end-in-millis="
                + (w.allRunsEndedAt() - now) + inherited + " may-run-unknown=" + state.mayRunUnknown(w, t)
                + instanceList(w);
    }

    private String instanceList(LiveWorker w) {
        if (state.runningWorkersAskedAt == LiveWorker.NEVER) {
            return " instances-read=never";
        }
        return " instances-read-millis-ago=" + (state.now() - state.runningWorkersAskedAt) + " on-instance-up="
                + state.runningWorkers.contains(w.facts().id());
    }

    /** Returns how many listed workers may not be given new tasks, by reason. */
    private String unusable() {
        Map<String, Long> counts = state.workers.values().stream()
                .filter(w -> w.listed)
                .map(this::unusableBecause)
                .filter(r -> !r.isEmpty())
                .collect(Collectors.groupingBy(r -> r, TreeMap::new, Collectors.counting()));
        return counts.isEmpty()
                ? "0"
                : counts.entrySet().stream()
                        .map(e -> e.getKey() + ":" + e.getValue())
                        .collect(Collectors.joining(","));
    }

    private String unusableBecause(LiveWorker w) {
        UnusableReason reason = state.unusableBecause(w);
        if (reason != null) {
            return reason.name();
        }
        return state.mayStartOn(w) ? "" : "CORDON";
    }

    /** Returns why a task without a confirmed run waits, given the usable workers. */
    private WaitReason reason(LiveTask t, List<LiveWorker> usable) {
        LiveWorker w = t.worker;
        return w == null ? reasonOffWorkers(t, usable) : reasonOnWorker(t, w);
    }

    private WaitReason reasonOnWorker(LiveTask t, LiveWorker w) {
        if (t.inDoubtSince != LiveWorker.NEVER) {
            return WaitReason.RUN_IN_DOUBT;
        } else if (t.phase == Phase.PLACED) {
            return reasonBeforeStart(t, w);
        } else if (state.isSilent(w)) {
            return WaitReason.WORKER_MAY_RUN_IT;
        }
        return switch (t.phase) {
            case STARTING -> state.mayStartOn(w) || t.orderInFlight ? WaitReason.START_UNANSWERED : cordon();
            case STOPPING -> WaitReason.STOP_UNCONFIRMED;
            case RECOVERING -> WaitReason.NOT_REPORTED_YET;
            case WAITING, PLACED, RUNNING, DONE -> WaitReason.NONE;
        };
    }

    private WaitReason cordon() {
        return state.cordons.isCurrent(state.now()) ? WaitReason.HALL_CORDONED : WaitReason.CORDONS_STALE;
    }

    private WaitReason reasonBeforeStart(LiveTask t, LiveWorker w) {
        if (!t.isPlacementDurable()) {
            return WaitReason.RECORD_UNSAVED;
        }
        WaitReason hindrance = state.startHindrance(w);
        if (hindrance != null) {
            return hindrance;
        }
        return RunTracker.requiresProbe(w, t, state.now()) ? WaitReason.PROBE_UNANSWERED : WaitReason.NONE;
    }

    /** Returns the first reason in the order in which placement checks them. */
    private WaitReason reasonOffWorkers(LiveTask t, List<LiveWorker> usable) {
        if (!state.holdsItsId(t.job)) {
            return WaitReason.ID_HELD_BY_OTHER_JOB;
        }
        WaitReason hindrance = t.placementHindrance(state.now());
        if (hindrance == null) {
            hindrance = state.staleView();
        }
        if (hindrance != null) {
            return hindrance;
        } else if (t.step.gang() && StepRoom.of(t.liveStep, state.now()) == null) {
            return WaitReason.GANG_INCOMPLETE;
        } else if (usable.isEmpty()) {
            return cordonWaits.hasCordonedWorkers() ? WaitReason.HALL_CORDONED : WaitReason.NO_USABLE_WORKER;
        }
        StepRoom room = StepRoom.of(t, state.now());
        return room.fits(usable, LiveWorker::roomFor)
                ? reasonDespiteRoom(t, room, usable)
                : reasonWithoutRoom(t, room, usable);
    }

    private WaitReason reasonDespiteRoom(LiveTask t, StepRoom room, List<LiveWorker> usable) {
        LiveStep s = t.liveStep;
        if (!t.job.quota.mayPlace(s.minPlacement())) {
            return WaitReason.QUOTA;
        }
        boolean lacksAdvice = t.job.policy.advised() && !room.fits(advisor.allowed(s, usable), LiveWorker::roomFor);
        return lacksAdvice ? WaitReason.ADVICE : WaitReason.NONE;
    }

    private WaitReason reasonWithoutRoom(LiveTask t, StepRoom room, List<LiveWorker> usable) {
        if (room.fits(usable, LiveWorker::roomBetweenStarts)) {
            boolean limited = usable.stream().anyMatch(LiveWorker::areStartsLimited);
            return limited ? WaitReason.COLD_STARTS : WaitReason.WORKERS_RESERVED;
        } else if (room.fits(usable, LiveWorker::roomIfUnreserved)) {
            return WaitReason.WORKERS_RESERVED;
        } else if (room.regardlessOfColocation().fits(usable, LiveWorker::roomBetweenStarts)) {
            return WaitReason.SUSPECTS_APART;
        } else if (room.regardlessOfHistory().fits(usable, LiveWorker::roomBetweenStarts)) {
            return WaitReason.AVOIDED_WORKERS;
        } else if (cordonWaits.isCause(t.liveStep, usable)) {
            return WaitReason.HALL_CORDONED;
        }
        boolean suits = usable.stream().anyMatch(room.regardlessOfHistory()::isSuitable);
        return suits ? WaitReason.NO_ROOM : WaitReason.NO_SUITABLE_WORKER;
    }
}
