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
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.cordon.Cordon;
import org.lupinpaddle.core.cordon.HallCordons;
import org.lupinpaddle.core.job.EndKind;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.job.TaskRecord;
import org.lupinpaddle.core.placement.Resources;
import org.lupinpaddle.core.placement.WorkerFacts;
import org.lupinpaddle.core.workspace.KeyDigest;
import org.lupinpaddle.core.workspace.QuotaAllocation;
import org.lupinpaddle.core.workspace.QuotaTable;
import org.lupinpaddle.core.workspace.Workspace;
import org.lupinpaddle.core.workspace.Workspaces;

/** Guards against each way in which a task could start on a worker of a cordoned hall, and against needless stops. */
class CordonPassTest {

    private static final TaskId FIRST = new TaskId(0, 0, 0);
    private static final StepSpec ONE =
            StepSpec.builder(1, SchedulerDriver.NEED).build();
    /** Each member needs a whole worker. */
    private static final StepSpec GANG = StepSpec.builder(2, new StepSpec.Need(4_000, 100, 0))
            .gang(true, false)
            .build();

    // Ties between workers go to the lowest id, so tasks are placed in the north first.
    private static final WorkerFacts N1 = SchedulerDriver.workerInHall("n1", "north");
    private static final WorkerFacts N2 = SchedulerDriver.workerInHall("n2", "north");
    private static final WorkerFacts S1 = SchedulerDriver.workerInHall("s1", "south");
    private static final WorkerFacts S2 = SchedulerDriver.workerInHall("s2", "south");

    private final QuotaTable quotas = new QuotaTable("clips");
    private final SchedulerDriver d = new SchedulerDriver(quotas);

    private List<String> startedOn() {
        return d.port.starts.stream().map(s -> s.worker().id()).toList();
    }

    private List<String> stoppedOn() {
        return d.port.stops.stream().map(s -> s.worker().id()).toList();
    }

    /** Completes the saves of several batches, and so all starts that are allowed. */
    private void save() {
        for (int i = 0; i < 3; i++) {
            d.advance(50);
            d.completeSaves();
        }
    }

    private void list(WorkerFacts... all) {
        d.cordon();
        d.listAndAnswer(all);
    }

    /** Leaves only starts that were sent after the call in the lists of the port. */
    private void forgetOrders() {
        d.port.starts.clear();
        d.port.stops.clear();
    }

    @Nested
    class APlacementWhoseStartHasNotBeenSent {

        @Test
        void movesToAnotherHall() {
            list(N1, S1);
            d.submit("a", ONE);
            d.cordon("north");
            save();
            assertEquals(List.of("s1"), startedOn());
        }

        @Test
        void ofAGangIsWithdrawnAsAWhole() {
            list(N1, S1);
            d.submit("a", GANG);
            d.cordon("north");
            save();
            assertEquals(List.of(), startedOn(), "there is room for one member only");
            d.listAndAnswer(N1, S1, S2);
            save();
            assertEquals(Set.of("s1", "s2"), Set.copyOf(startedOn()));
        }

        @Test
        void startsWithTheTicketOfAWorkerInAnotherHall() {
            d.advised = true;
            list(N1, S1);
            d.submit("a", ONE);
            d.scheduler.onAdvice(
                    d.port.advice.get(0), new AdviceResponse(Map.of("n1", "ticket-n1", "s1", "ticket-s1"), 5_000));
            d.advance(0);
            d.cordon("north");
            save();
            assertEquals(List.of("s1"), startedOn());
            assertEquals("ticket-s1", d.lastStart().ticket());
        }

        /** The probe's answer was the only event that the start of a suspect task still waited for. */
        @Test
        void isWithdrawnWhileItsWorkerIsProbed() {
            list(N1);
            d.advance(1_000);
            d.submit(
                    "a",
                    new JobProgress(
                            JobState.RUNNING, List.of(new TaskRecord(0, 0, 0, 3, 0, false, "", "", 1, 0)), "", 0),
                    ONE);
            save();
            assertEquals(List.of("n1"), stoppedOn(), "the probe is a stop of an earlier run");
            d.cordon("north");
            d.scheduler.onStopped(d.port.stops.get(0), OrderOutcome.ACCEPTED);
            save();
            assertEquals(List.of(), startedOn());
            assertEquals(List.of("n1"), stoppedOn());
        }

        @Test
        void isWithdrawnAgainWhenTheCordonIsMadeAgain() {
            list(N1);
            d.submit("a", ONE);
            d.cordon("north");
            save();
            d.cordon();
            d.cordon("north");
            save();
            assertEquals(List.of(), startedOn());
            d.cordon();
            save();
            assertEquals(List.of("n1"), startedOn());
        }

        @Test
        void waitsWhileAllHallsAreCordoned() {
            list(N1, S1);
            d.submit("a", ONE);
            d.cordon("north", "south");
            save();
            assertEquals(List.of(), startedOn());
            d.cordon("north");
            save();
            assertEquals(List.of("s1"), startedOn());
        }
    }

    @Nested
    class AnUnansweredStart {

        private void startOnN1() {
            list(N1, S1);
            d.submit("a", ONE);
            save();
            assertEquals(List.of("n1"), startedOn());
        }

        @Test
        void isStoppedAndRunsElsewhereOnlyAfterThat() {
            startOnN1();
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.UNKNOWN);
            d.cordon("north");
            save();
            d.advance(300);
            assertEquals(List.of("n1"), startedOn(), "the first run may still begin");
            assertEquals(List.of("n1"), stoppedOn());
            d.scheduler.onStopped(d.port.stops.get(0), OrderOutcome.ACCEPTED);
            d.advance(10);
            d.answerHold("n1", List.of(), List.of());
            save();
            assertEquals(List.of("n1", "s1"), startedOn());
            assertEquals(2, d.lastStart().run());
        }

        @Test
        void thatWasCarriedOutBeforeTheCordonContinues() {
            startOnN1();
            d.cordon("north");
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
            save();
            assertEquals(List.of(), stoppedOn());
        }

        @Test
        void inFlightIsStoppedIfNoAnswerComes() {
            startOnN1();
            d.cordon("north");
            d.advance(500);
            assertEquals(List.of(), stoppedOn());
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.UNKNOWN);
            d.advance(300);
            assertEquals(List.of("n1"), startedOn());
            assertEquals(List.of("n1"), stoppedOn());
        }

        @Test
        void fencedByThisOwnerIsNotSentAgain() {
            list(N1);
            d.submit("a", ONE);
            d.submit("b", ONE);
            save();
            d.scheduler.onStarted(d.port.starts.get(0), OrderOutcome.UNKNOWN);
            d.advance(250);
            StartOrder b = d.port.starts.get(1);
            int sent = d.port.starts.size();
            d.cordon("north");
            d.scheduler.onStarted(b, OrderOutcome.FENCED);
            d.advance(10);
            assertEquals(List.of(), d.port.lost);
            assertEquals(sent, d.port.starts.size());
            assertEquals(
                    List.of(b.jobId()),
                    d.port.stops.stream().map(StopOrder::jobId).toList());
        }

        @Test
        void ofAGangIsStoppedWithTheOthers() {
            list(N1, S1, S2);
            d.submit("a", GANG);
            save();
            assertEquals(Set.of("n1", "s1"), Set.copyOf(startedOn()));
            for (StartOrder s : List.copyOf(d.port.starts)) {
                boolean north = s.worker().equals(N1);
                d.scheduler.onStarted(s, north ? OrderOutcome.UNKNOWN : OrderOutcome.ACCEPTED);
            }
            d.cordon("north");
            assertEquals(Set.of("n1", "s1"), Set.copyOf(stoppedOn()));
            List.copyOf(d.port.stops).forEach(s -> d.scheduler.onStopped(s, OrderOutcome.ACCEPTED));
            forgetOrders();
            d.advance(10);
            d.answerHold("s1", List.of(), List.of());
            save();
            assertEquals(List.of(), startedOn(), "the member in the north may still begin");
            d.answerHold("n1", List.of(), List.of());
            save();
            assertEquals(Set.of("s1", "s2"), Set.copyOf(startedOn()));
        }

        @Test
        void doesNotEndAGangThatRuns() {
            list(N1, S1);
            d.submit("a", GANG);
            save();
            List.copyOf(d.port.starts).forEach(s -> d.scheduler.onStarted(s, OrderOutcome.ACCEPTED));
            d.cordon("north");
            save();
            assertEquals(List.of(), stoppedOn());
        }
    }

    /** The entry cannot know of a new cordon while its view is not current. */
    @Nested
    class WithoutACurrentView {

        private void loseTheView() {
            d.cordons = null;
            for (int i = 0; i < 4; i++) {
                d.advance(1_000);
                d.answerHold("n1", List.of(), List.of());
            }
        }

        @Test
        void aNewOwnerPlacesNothing() {
            d.scheduler.onCordons(HallCordons.unread(SchedulerDriver.CORDON_AGE_MILLIS));
            d.listAndAnswer(N1);
            d.submit("a", ONE);
            save();
            assertEquals(List.of(), d.port.events(SchedulerEvent.Kind.TASK_PLACED));
            d.cordon();
            save();
            assertEquals(List.of("n1"), startedOn());
        }

        @Test
        void aSavedPlacementIsNotStarted() {
            list(N1);
            d.submit("a", ONE);
            d.advance(50);
            loseTheView();
            d.completeSaves();
            d.advance(10);
            assertEquals(List.of(), startedOn());
            d.cordon();
            assertEquals(List.of("n1"), startedOn());
            assertEquals(1, d.lastStart().run(), "the placement is kept");
        }

        @Test
        void anUnansweredStartIsNotSentAgain() {
            list(N1);
            d.submit("a", ONE);
            save();
            loseTheView();
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.UNKNOWN);
            d.advance(300);
            assertEquals(1, d.port.starts.size());
            d.cordon();
            assertEquals(2, d.port.starts.size());
        }

        @Test
        void noSuspectTaskIsProbedFor() {
            list(N1);
            d.submit(
                    "a",
                    new JobProgress(
                            JobState.RUNNING, List.of(new TaskRecord(0, 0, 0, 3, 0, false, "", "", 1, 0)), "", 0),
                    ONE);
            d.advance(50);
            loseTheView();
            d.now += 500;
            d.completeSaves();
            assertEquals(List.of(), stoppedOn());
        }

        /** Guards against members of a gang that occupy their workers without progress while another cannot start. */
        @Test
        void aGangThatRunsIncompletelyIsStopped() {
            list(N1, S1);
            d.submit("a", GANG);
            save();
            StartOrder n1 = startOn(N1);
            d.scheduler.onStarted(n1, OrderOutcome.ACCEPTED);
            d.cordons = null;
            RunStatus running = new RunStatus(n1.jobId(), n1.task(), n1.run(), "", 1, -1);
            for (int i = 0; i < 4; i++) {
                d.advance(1_000);
                d.answerHold("n1", List.of(running), List.of());
                d.answerHold("s1", List.of(), List.of());
            }
            d.scheduler.onStarted(startOn(S1), OrderOutcome.UNKNOWN);
            d.advance(1_200);
            assertEquals(2, d.port.starts.size());
            assertEquals(List.of(), stoppedOn());
            d.advance(10);
            assertEquals(Set.of("n1", "s1"), Set.copyOf(stoppedOn()));
        }

        private StartOrder startOn(WorkerFacts w) {
            return d.port.starts.stream()
                    .filter(s -> s.worker().equals(w))
                    .findAny()
                    .orElseThrow();
        }

        @Test
        void aKnownCordonIsStillApplied() {
            list(N1);
            d.submit("a", ONE);
            save();
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.UNKNOWN);
            d.cordons = null;
            d.scheduler.onCordons(HallCordons.of(List.of(new Cordon("north", 7)), d.now - 4_000, 3_300));
            d.advance(10);
            assertEquals(List.of("n1"), stoppedOn());
        }
    }

    @Test
    void adviceIsNotRequestedForWorkersOfACordonedHall() {
        d.advised = true;
        list(N1, S1);
        d.cordon("north");
        d.submit("a", ONE);
        assertEquals(List.of("s1"), d.port.advice.get(0).workers());
    }

    @Test
    void rackLocalStepTakesARackOfAnotherHall() {
        list(N1, N2, S1);
        d.cordon("north");
        d.submit("a", StepSpec.builder(2, SchedulerDriver.NEED).gang(true, true).build());
        save();
        assertEquals(List.of("s1", "s1"), startedOn());
    }

    /** Tests runs that are under way when the cordon is made; the workers carry out all orders. */
    @Nested
    class Runs {

        private static final int ROUNDS_OF_A_MOVE = 12;

        private final Map<String, StartOrder> running = new LinkedHashMap<>();

        private StepSpec longRunning(int count) {
            return StepSpec.builder(count, SchedulerDriver.NEED)
                    .longRunning(true, 1)
                    .perWorkerMost(1)
                    .build();
        }

        private void carryOut(int rounds) {
            for (int i = 0; i < rounds; i++) {
                d.advance(50);
                d.completeSaves();
                for (StopOrder o : List.copyOf(d.port.stops)) {
                    running.remove(o.jobId() + o.task(), startOf(o));
                    d.scheduler.onStopped(o, OrderOutcome.ACCEPTED);
                }
                for (StartOrder o : List.copyOf(d.port.starts)) {
                    running.put(o.jobId() + o.task(), o);
                    d.scheduler.onStarted(o, OrderOutcome.ACCEPTED);
                }
                forgetOrders();
                d.advance(10);
                report();
            }
        }

        private void report() {
            for (WorkerFacts w : List.of(N1, N2, S1, S2)) {
                if (d.port.holds.stream().anyMatch(h -> h.worker().equals(w))) {
                    d.answerHold(w.id(), statuses(w), List.of());
                }
            }
        }

        private void listAndReport(WorkerFacts... all) {
            d.scheduler.onWorkers(List.of(all));
            d.advance(10);
            report();
        }

        private StartOrder startOf(StopOrder stop) {
            return running.values().stream()
                    .filter(s ->
                            s.jobId().equals(stop.jobId()) && s.task().equals(stop.task()) && s.run() == stop.run())
                    .findAny()
                    .orElseThrow();
        }

        private List<RunStatus> statuses(WorkerFacts w) {
            return running.values().stream()
                    .filter(s -> s.worker().equals(w))
                    .map(s -> new RunStatus(s.jobId(), s.task(), s.run(), "", 100, -1))
                    .toList();
        }

        private Set<String> workersInUse() {
            return running.values().stream().map(s -> s.worker().id()).collect(Collectors.toSet());
        }

        private void startInTheNorth(String job, int tasks) {
            list(N1, N2);
            d.submit(job, longRunning(tasks));
            carryOut(3);
            assertEquals(tasks, running.size());
        }

        @Test
        void ofLongRunningTasksMoveOneAfterAnother() {
            startInTheNorth("a", 2);
            listAndReport(N1, N2, S1, S2);
            d.cordon("north");
            d.advance(300);
            assertEquals(1, d.port.stops.size(), "only one task may be unavailable");
            carryOut(2 * ROUNDS_OF_A_MOVE);
            assertEquals(Set.of("s1", "s2"), workersInUse());
            assertEquals(List.of(), d.port.emptied, "no evacuation was requested");
        }

        @Test
        void stayWithoutRoomInAnotherHall() {
            list(N1, S1);
            d.submit("a", longRunning(2));
            carryOut(3);
            listAndReport(N1, N2, S1);
            d.cordon("north");
            carryOut(ROUNDS_OF_A_MOVE);
            assertEquals(Set.of("n1", "s1"), workersInUse(), "the step runs on s1 already, and n2 is cordoned too");
        }

        /** Guards against stopping one task of each job at once, although only one of them finds room. */
        @Test
        void ofSeveralJobsDoNotMoveIntoTheSameRoom() {
            StepSpec large = StepSpec.builder(1, new StepSpec.Need(4_000, 100, 0))
                    .longRunning(true, 1)
                    .build();
            list(N1, N2);
            d.submit("a", large);
            d.submit("b", large);
            carryOut(3);
            listAndReport(N1, N2, S1);
            d.cordon("north");
            d.advance(300);
            assertEquals(1, d.port.stops.size());
            carryOut(ROUNDS_OF_A_MOVE);
            assertEquals(2, running.size());
            assertTrue(workersInUse().contains("s1"));
        }

        /** Guards against a small task that takes the room for which a large one was stopped. */
        @Test
        void ofDifferentNeedsMoveOneAfterAnother() {
            list(N1, N2);
            d.submit(
                    "large",
                    StepSpec.builder(1, new StepSpec.Need(4_000, 100, 0))
                            .longRunning(true, 1)
                            .build());
            d.submit(
                    "small",
                    StepSpec.builder(1, new StepSpec.Need(500, 100, 0))
                            .longRunning(true, 1)
                            .build());
            carryOut(3);
            listAndReport(N1, N2, S1);
            d.cordon("north");
            d.advance(300);
            assertEquals(1, d.port.stops.size());
            carryOut(2 * ROUNDS_OF_A_MOVE);
            assertEquals(2, running.size());
        }

        /** Guards against tasks that wait, stopped, for one start after another on a cold worker. */
        @Test
        void stopOneAtATimeForAColdWorker() {
            d.scheduler.onColdStartsPerSecond(1);
            list(N1);
            d.submit(
                    "a",
                    StepSpec.builder(3, SchedulerDriver.NEED)
                            .longRunning(true, 3)
                            .build());
            carryOut(3);
            assertEquals(3, running.size());
            d.scheduler.onWorkers(List.of(N1, SchedulerDriver.coldWorkerInHall("s1", "south", 60_000)));
            d.advance(10);
            d.answerHold("s1", List.of(), List.of());
            d.advance(1_000);
            report();
            d.answerHold("s1", List.of(), List.of());
            d.cordon("north");
            d.advance(300);
            assertEquals(1, d.port.stops.size());
        }

        /** Guards against the same failure by a step with at most one task on a worker. */
        @Test
        void ofOneStepDoNotMoveIntoTheSameRoom() {
            list(N1, N2);
            StepSpec twoMayMiss = StepSpec.builder(2, SchedulerDriver.NEED)
                    .longRunning(true, 2)
                    .perWorkerMost(1)
                    .build();
            d.submit("a", twoMayMiss);
            carryOut(3);
            listAndReport(N1, N2, S1);
            d.cordon("north");
            d.advance(300);
            assertEquals(1, d.port.stops.size());
        }

        /** A cordon changes nothing for tasks on an unreachable worker, whose deadline ends them. */
        @Test
        void onAWorkerThatDoesNotRespondStay() {
            startInTheNorth("a", 1);
            listAndReport(N1, N2, S1);
            d.leaveHoldUnanswered("n1");
            d.cordon("north");
            d.advance(300);
            assertEquals(List.of(), stoppedOn());
        }

        @Test
        void stayWhileTheViewIsNotCurrent() {
            startInTheNorth("a", 1);
            listAndReport(N1, N2, S1);
            d.cordons = null;
            d.scheduler.onCordons(HallCordons.of(List.of(new Cordon("north", 7)), d.now - 4_000, 3_300));
            carryOut(ROUNDS_OF_A_MOVE);
            assertEquals(Set.of("n1"), workersInUse(), "the task could not start elsewhere");
        }

        @Test
        void ofFiniteTasksEndInPlace() {
            list(N1);
            d.submit("a", ONE);
            d.submit("long", longRunning(1));
            carryOut(3);
            listAndReport(N1, S1);
            d.cordon("north");
            carryOut(ROUNDS_OF_A_MOVE);
            assertEquals(Set.of("n1", "s1"), workersInUse(), "only the long-running task moves");
            running.remove("a" + FIRST);
            d.answerHold("n1", List.of(), List.of(new RunResult(1, "a", FIRST, 1, EndKind.DONE, "")));
            save();
            assertEquals(1, d.port.events(SchedulerEvent.Kind.JOB_ENDED).size());
            assertEquals(List.of(), d.port.emptied);
        }

        /** Guards against handing the quota of the only task over to another service, which may never return it. */
        @Test
        void stayIfAnotherServiceWaitsForTheirQuota() {
            limit(1_000, 1_000);
            startInTheNorth("a", 1);
            listAndReport(N1, N2, S1);
            limit(1_000, 1_000, 1_000);
            d.cordon("north");
            carryOut(ROUNDS_OF_A_MOVE);
            assertEquals(Set.of("n1"), workersInUse());
        }

        /**
         * Guards against the same failure by two moves at once: each task is not the only one, but both are stopped, and
         * the last one to end returns the whole grant.
         */
        @Test
        void moveOneAtATimeIfAnotherServiceWaitsForTheirQuota() {
            limit(4_000, 2_000);
            list(N1);
            d.submit("a", longRunning(1));
            d.submit("b", longRunning(1));
            carryOut(3);
            assertEquals(2, running.size());
            listAndReport(N1, S1, S2);
            limit(4_000, 2_000, 2_000);
            d.cordon("north");
            d.advance(300);
            assertEquals(1, d.port.stops.size());
            carryOut(2 * ROUNDS_OF_A_MOVE);
            assertEquals(2, running.size());
            assertFalse(workersInUse().contains("n1"), "both have moved, one after the other");
        }

        /** Guards against a stop after which the other service gets the quota, because this one uses more than its share. */
        @Test
        void stayIfTheyUseMoreThanTheFairShareOfAContestedQuota() {
            limit(2_000, 2_000);
            startInTheNorth("a", 2);
            listAndReport(N1, N2, S1, S2);
            limit(2_000, 2_000, 2_000);
            d.cordon("north");
            carryOut(ROUNDS_OF_A_MOVE);
            assertEquals(Set.of("n1", "n2"), workersInUse());
        }

        private void limit(long maximum, long granted) {
            limit(maximum, granted, 0);
        }

        /**
         * Limits the workspace's tasks of this service to {@code granted} of {@code maximum} CPU milliseconds, while another
         * service requests some.
         */
        private void limit(long maximum, long granted, long requestedByOther) {
            d.workspace = "team";
            Resources max = new Resources(maximum, 0, 0);
            List<KeyDigest> keys = List.of();
            quotas.configure(Workspaces.of(List.of(new Workspace("team", keys, 0, max)), List.of()));
            QuotaAllocation.Grant grant = new QuotaAllocation.Grant(new Resources(granted, 0, 0), Resources.NONE);
            QuotaAllocation.Grant other =
                    new QuotaAllocation.Grant(Resources.NONE, new Resources(requestedByOther, 0, 0));
            quotas.of("team").onAllocation(new QuotaAllocation(Map.of("clips", grant, "other", other)), ++revision);
        }

        private long revision;

        /**
         * Guards against a deadlock of quota, limit on unavailable tasks and cordon: the tasks use the whole quota, so
         * each move depends on the quota that its own stop releases. A step that can run only in the cordoned hall
         * waits meanwhile.
         */
        @Test
        void thatUseTheWholeQuotaMoveAllTheSame() {
            limit(2_000, 2_000);
            startInTheNorth("a", 2);
            d.submit(
                    "b",
                    StepSpec.builder(1, SchedulerDriver.NEED).place("gpu", "").build());
            listAndReport(N1, N2, S1, S2, SchedulerDriver.workerInHall("n3", "north", "gpu"));
            d.cordon("north");
            carryOut(2 * ROUNDS_OF_A_MOVE);
            assertEquals(Set.of("s1", "s2"), workersInUse());
        }

        /** Guards against stopping a serving task that the quota would not allow to start again. */
        @Test
        void stayIfTheQuotaHasBeenLowered() {
            limit(2_000, 2_000);
            startInTheNorth("a", 2);
            listAndReport(N1, N2, S1, S2);
            limit(1_000, 2_000);
            d.cordon("north");
            carryOut(ROUNDS_OF_A_MOVE);
            assertEquals(Set.of("n1", "n2"), workersInUse());
        }

        /** Guards against stopping a task at the beginning of a store outage, during which nothing is placed. */
        @Test
        void stayWhileTheListOfWorkersIsStale() {
            startInTheNorth("a", 1);
            listAndReport(N1, N2, S1);
            d.now += 2_600;
            d.scheduler.onCordons(
                    HallCordons.of(List.of(new Cordon("north", 7)), d.now, SchedulerDriver.CORDON_AGE_MILLIS));
            d.scheduler.tick();
            assertEquals(List.of(), stoppedOn());
            d.cordon("north");
            assertEquals(List.of("n1"), stoppedOn());
        }

        /** Guards against stopping all members of a gang in order to move one. */
        @Test
        void ofLongRunningGangsStay() {
            list(N1, S1);
            d.submit(
                    "a",
                    StepSpec.builder(2, new StepSpec.Need(4_000, 100, 0))
                            .longRunning(true, 1)
                            .gang(true, false)
                            .build());
            carryOut(3);
            listAndReport(N1, S1, S2);
            d.cordon("north");
            carryOut(ROUNDS_OF_A_MOVE);
            assertEquals(Set.of("n1", "s1"), workersInUse());
        }

        /** Guards against exposing a second worker to a task that may crash it. */
        @Test
        void ofIsolatedSuspectsStay() {
            list(N1);
            d.submit(
                    "a",
                    new JobProgress(
                            JobState.RUNNING, List.of(new TaskRecord(0, 0, 0, 3, 0, false, "", "", 2, 0)), "", 0),
                    longRunning(1));
            carryOut(3);
            assertEquals(1, running.size());
            listAndReport(N1, S1);
            d.cordon("north");
            carryOut(ROUNDS_OF_A_MOVE);
            assertEquals(Set.of("n1"), workersInUse());
        }
    }
}
