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
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.job.EndKind;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.placement.Resources;
import org.lupinpaddle.core.placement.WorkerFacts;
import org.lupinpaddle.core.workspace.QuotaAllocation;
import org.lupinpaddle.core.workspace.QuotaTable;
import org.lupinpaddle.core.workspace.Workspace;
import org.lupinpaddle.core.workspace.Workspaces;

/** Tests which waits are attributed to a cordon, and that such tasks take no quota from others. */
class CordonWaitsTest {

    private static final WorkerFacts N1 = SchedulerDriver.workerInHall("n1", "north", "gpu");
    private static final WorkerFacts S1 = SchedulerDriver.workerInHall("s1", "south");
    private static final WorkerFacts COLD_S1 = SchedulerDriver.coldWorkerInHall("s1", "south", 60_000);
    private static final StepSpec ON_GPU =
            StepSpec.builder(1, SchedulerDriver.NEED).place("gpu", "").build();
    private static final StepSpec WHOLE_WORKER =
            StepSpec.builder(1, new StepSpec.Need(4_000, 100, 0)).build();

    private final QuotaTable quotas = new QuotaTable("clips");
    private final SchedulerDriver d = new SchedulerDriver(quotas);

    private void cordonTheNorth() {
        d.listAndAnswer(N1, S1);
        d.cordon("north");
        // The next pass updates the waits.
        d.now += 100;
    }

    private void advance(int steps) {
        for (int i = 0; i < steps; i++) {
            d.advance(100);
            d.answerHold("n1", List.of(), List.of());
            d.answerHold("s1", List.of(), List.of());
        }
    }

    private LoadSummary.CordonLoad load() {
        return Objects.requireNonNull(d.scheduler.load().cordon());
    }

    private String detailOfPlacement() {
        List<SchedulerEvent> placed = d.port.events(SchedulerEvent.Kind.TASK_PLACED);
        assertEquals(1, placed.size());
        return placed.get(0).detail();
    }

    @Nested
    class ATask {

        @Test
        void isPlacedWithTheTimeForWhichTheCordonAloneKeptItWaiting() {
            cordonTheNorth();
            d.submit("a", ON_GPU);
            advance(10);
            assertEquals(new LoadSummary.CordonLoad(0, 1), load());
            d.cordon();
            assertTrue(detailOfPlacement().endsWith(" cordoned-millis=1000"), detailOfPlacement());
            assertNull(d.scheduler.load().cordon());
        }

        /** Guards against attributing other waits, here for the end of an evacuation, to the cordon. */
        @Test
        void countsOnlyTheTimeForWhichTheWorkerWasOtherwiseUsable() {
            cordonTheNorth();
            d.submit("a", ON_GPU);
            advance(5);
            d.scheduler.onEvacuations(Set.of("n1"), Set.of());
            advance(5);
            assertEquals(0, load().waiting());
            d.scheduler.onEvacuations(Set.of(), Set.of());
            advance(5);
            assertEquals(1, load().waiting());
            d.cordon();
            // Changes between waits are observed within 100 ms.
            assertTrue(detailOfPlacement().matches(".* cordoned-millis=(9|10|11)..$"), detailOfPlacement());
        }

        /** Guards against counting an outage, during which nothing is placed anywhere, as a wait for the cordon. */
        @Test
        void doesNotWaitForTheCordonWhileTheViewIsNotCurrent() {
            cordonTheNorth();
            d.submit("a", ON_GPU);
            d.cordons = null;
            advance(100);
            d.cordon("north");
            advance(5);
            d.cordon();
            // The view remains current for 3.3 s.
            assertTrue(detailOfPlacement().matches(".* cordoned-millis=3[6-9]..$"), detailOfPlacement());
        }

        /** Guards against attributing the wait for the next start on a cold worker to the cordon. */
        @Test
        void doesNotWaitForTheCordonWhileTheRateOfStartsElsewhereHoldsItBack() {
            d.scheduler.onColdStartsPerSecond(0.2);
            d.listAndAnswer(N1, COLD_S1);
            d.cordon("north");
            d.now += 100;
            d.submit("a", WHOLE_WORKER);
            assertEquals(0, load().waiting());
            assertTrue(d.port.events(SchedulerEvent.Kind.TASK_PLACED).isEmpty());
        }

        @Test
        void doesNotWaitForTheCordonIfItFitsNowhere() {
            cordonTheNorth();
            d.submit("a", StepSpec.builder(1, new StepSpec.Need(5_000, 100, 0)).build());
            advance(2);
            assertEquals(0, load().waiting());
        }

        @Test
        void thatRunsElsewhereHasNotWaitedForTheCordon() {
            cordonTheNorth();
            d.submit("a", WHOLE_WORKER);
            assertFalse(detailOfPlacement().contains("cordoned"), detailOfPlacement());
        }

        @Test
        void waitsForTheCordonIfOtherHallsAreFull() {
            cordonTheNorth();
            d.submit("a", WHOLE_WORKER);
            d.submit("b", WHOLE_WORKER);
            d.advance(100);
            assertEquals(1, load().waiting());
        }

        @Test
        void ofAGangWaitsForTheCordonIfOtherHallsHaveRoomForAPart() {
            cordonTheNorth();
            d.submit(
                    "a",
                    StepSpec.builder(2, new StepSpec.Need(4_000, 100, 0))
                            .gang(true, false)
                            .build());
            assertEquals(2, load().waiting());
        }

        @Test
        void inACordonedHallIsReportedWithTheLoad() {
            d.cordon();
            d.listAndAnswer(N1, S1);
            d.submit("a", ON_GPU);
            d.advance(50);
            d.completeSaves();
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
            d.cordon("north");
            assertEquals(new LoadSummary.CordonLoad(1, 0), load());
        }
    }

    @Nested
    class AWorkspaceWithAQuota {

        private static final Resources MAXIMUM = new Resources(1_000, 0, 0);

        private void limit() {
            quotas.configure(Workspaces.of(List.of(new Workspace("team", List.of(), 0, MAXIMUM)), List.of()));
            quotas.of("team").onNoAllocation(0);
        }

        private void submitLimited(StepSpec step) {
            d.workspace = "team";
            limit();
            d.submit("a", step);
        }

        /** Guards against quota that is held for a task which cannot start anywhere, for whatever reason. */
        @Test
        void requestsNoneWhileTheCordonedWorkerIsNotUsableEither() {
            cordonTheNorth();
            d.scheduler.onEvacuations(Set.of("n1"), Set.of());
            submitLimited(ON_GPU);
            assertTrue(quotas.of("team").next(d.now).isEmpty());
        }

        /** Guards against one task that has failed on the only usable worker and stands for all tasks of its step. */
        @Test
        void requestsSomeForOtherTasksThanOneThatAvoidsTheWorker() {
            cordonTheNorth();
            d.workspace = "team";
            d.submit(
                    "a",
                    StepSpec.builder(2, SchedulerDriver.NEED).perWorkerMost(1).build());
            d.advance(50);
            d.completeSaves();
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
            limit();
            RunResult failed = new RunResult(1, "a", new TaskId(0, 0, 0), 1, EndKind.FAILED, "");
            d.answerHold("s1", List.of(), List.of(failed));
            assertTrue(quotas.of("team").next(d.now).isPresent());
        }

        /** Guards against quota that is held for a gang as long as its only worker is cold. */
        @Test
        void requestsNoneForAGangWithMoreMembersThanColdWorkersTakeAtOnce() {
            d.scheduler.onColdStartsPerSecond(1);
            d.listAndAnswer(N1, COLD_S1);
            d.cordon("north");
            advance(11);
            submitLimited(StepSpec.builder(2, new StepSpec.Need(500, 100, 0))
                    .gang(true, false)
                    .build());
            assertTrue(quotas.of("team").next(d.now).isEmpty());
        }

        @Test
        void requestsNoneForATaskThatWaitsForTheCordon() {
            cordonTheNorth();
            submitLimited(ON_GPU);
            assertTrue(quotas.of("team").next(d.now).isEmpty());
            d.cordon();
            QuotaAllocation wanted = quotas.of("team").next(d.now).orElseThrow();
            assertEquals(
                    MAXIMUM,
                    Objects.requireNonNull(wanted.grants().get("clips")).granted());
            quotas.of("team").onAllocation(wanted, 1);
            d.advance(10);
            assertEquals(1, d.port.events(SchedulerEvent.Kind.TASK_PLACED).size(), "the quota is requested again");
        }

        @Test
        void requestsSomeForATaskThatFitsInAnotherHall() {
            cordonTheNorth();
            submitLimited(StepSpec.builder(1, SchedulerDriver.NEED).build());
            assertTrue(quotas.of("team").next(d.now).isPresent());
        }

        /** Guards against a quota that two services need and neither uses. */
        @Test
        void returnsItToAnotherServiceWhenAPlacementIsWithdrawn() {
            d.cordon();
            d.listAndAnswer(N1, S1);
            submitLimited(ON_GPU);
            QuotaAllocation.Grant whole = new QuotaAllocation.Grant(MAXIMUM, Resources.NONE);
            QuotaAllocation.Grant none = new QuotaAllocation.Grant(Resources.NONE, MAXIMUM);
            quotas.of("team").onAllocation(new QuotaAllocation(Map.of("clips", whole, "other", none)), 1);
            d.advance(10);
            assertEquals(1, d.port.events(SchedulerEvent.Kind.TASK_PLACED).size());
            d.cordon("north");
            // Later than the time for which the service yields after its last run.
            for (int i = 0; i < 10; i++) {
                advance(1);
                quotas.of("team").next(d.now).ifPresent(a -> {
                    assertFalse(a.grants().containsKey("clips"), a.toString());
                    quotas.of("team").onAllocation(a, quotas.of("team").revision() + 1);
                });
            }
            assertEquals(2, quotas.of("team").revision(), "one write returns the grant");
        }
    }
}
