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
package org.lupinpaddle.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Configuration and waves over real processes: three entries, six workers in two halls. */
class FleetFailureTest {

    private TestFleet fleet;
    private EntryProcess north;
    private EntryProcess south;
    private EntryProcess third;

    @BeforeEach
    void start() throws Exception {
        fleet = new TestFleet(6, 4);
        fleet.timing += "return_millis = 5000\n";
        north = fleet.startEntry("north-1", "north", true);
        south = fleet.startEntry("south-1", "south", true);
        third = fleet.startEntry("north-2", "north", true);
        fleet.configure("clips", 3);
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    private int budgetAt(EntryProcess e) {
        return fleet.command(e, "service list")
                .path("data")
                .path(0)
                .path("budget")
                .asInt();
    }

    private void isInForceEverywhere(int budget, long seconds) {
        for (EntryProcess e : fleet.entries) {
            Await.until("budget " + budget + " at " + e.id, seconds, () -> budgetAt(e) == budget);
        }
    }

    @Nested
    class Configuration {

        @Test
        void isInForceEverywhereWithinSecondsAlsoWithASlowPlatform() throws Exception {
            fleet.accepted(north, "service change clips --budget 2");
            isInForceEverywhere(2, 5);
            fleet.platform.setFaults("{\"delayMillis\":700}");
            fleet.accepted(south, "service change clips --budget 1");
            isInForceEverywhere(1, 5);
        }

        @Test
        void outlivesThePlatformsAbsenceAndReachesAFreshEntryFromItsNeighbours() throws Exception {
            fleet.accepted(north, "service change clips --budget 2");
            isInForceEverywhere(2, 5);
            fleet.platform.setFaults("{\"down\":true,\"instancesDown\":true}");
            south.kill();
            EntryProcess fresh = fleet.startEntry("south-9", "south", true, north.peer);
            assertEquals(2, budgetAt(fresh));
            assertEquals(200, fleet.send(fleet.request(fresh, "clips", "x")).statusCode());
            JsonNode change = fleet.command(fresh, "service change clips --budget 1");
            assertEquals("refused", change.path("fate").asText());
            assertTrue(change.path("lines").toString().contains("come back in"), change.toString());
            assertEquals(2, budgetAt(fresh), "what was not accepted is not in force");
        }

        @Test
        void withoutPlatformAndNeighboursAFreshEntryServesNothing() throws Exception {
            fleet.platform.setFaults("{\"down\":true}");
            EntryProcess fresh = fleet.startEntry("alone-1", "north", false);
            assertEquals(503, fleet.health(fresh));
            HttpResponse<String> r = fleet.send(fleet.request(fresh, "clips", "x"));
            assertEquals("not-serving", r.headers().firstValue("Lupin-Reason").orElse(""));
            assertEquals("not-run", r.headers().firstValue("Lupin-Verdict").orElse(""));
        }

        @Test
        void isInForceThroughNeighboursWhereAHallIsCutOffFromThePlatform() throws Exception {
            try (TcpRelay relay = new TcpRelay(fleet.platform.address())) {
                fleet.platformAddress = relay.address();
                EntryProcess cutOff = fleet.startEntry("south-3", "south", true);
                relay.setCut(true);
                fleet.accepted(north, "wave start all --rack north-r0 --order one-at-a-time");
                String leaving = Await.value(
                        "one leaves",
                        30,
                        () -> fleet.workers.keySet().stream()
                                .filter(w -> !fleet.instance(north, w)
                                        .path("state")
                                        .asText()
                                        .equals("IN_SERVICE"))
                                .findFirst()
                                .orElse(null));
                Await.until(
                        "it is known where the platform is not",
                        5,
                        () -> !fleet.instance(cutOff, leaving)
                                .path("state")
                                .asText()
                                .equals("IN_SERVICE"));
                assertEquals(
                        200, fleet.send(fleet.request(cutOff, "clips", "x")).statusCode());
                Await.until(
                        "the wave ends all the same",
                        60,
                        () -> fleet.waveState(cutOff, "all").equals("DONE"));
                assertEquals(0, fleet.cutOff());
            }
        }

        @Test
        void servesOnWhileTheStoreHangsAndTakesChangesAfterwards() throws Exception {
            fleet.platform.setFaults("{\"hang\":true}");
            for (int i = 0; i < 10; i++) {
                assertEquals(
                        200, fleet.send(fleet.request(south, "clips", "x" + i)).statusCode());
            }
            CompletableFuture<JsonNode> change =
                    CompletableFuture.supplyAsync(() -> fleet.command(north, "service change clips --budget 2"));
            assertNotEquals(
                    "accepted", change.get(25, TimeUnit.SECONDS).path("fate").asText());
            fleet.platform.setFaults("{}");
            Await.until(
                    "changes are taken again",
                    30,
                    () -> fleet.command(north, "service change clips --budget 1")
                            .path("fate")
                            .asText()
                            .equals("accepted"));
            isInForceEverywhere(1, 8);
        }

        @Test
        void neverRevertsOnAnEntryThatWasFrozenMeanwhile() throws Exception {
            third.freeze();
            fleet.accepted(north, "service change clips --budget 2");
            fleet.accepted(south, "service change clips --budget 1");
            third.thaw();
            isInForceEverywhere(1, 5);
        }

        @Test
        void isWrittenOnceWhenTheReplyIsLost() throws Exception {
            fleet.platform.setFaults("{\"loseReplies\":1}");
            JsonNode r = fleet.command(north, "service create other --budget 0 --reserve none");
            assertEquals("accepted", r.path("fate").asText());
            JsonNode again = fleet.command(south, "service create other --budget 0 --reserve none");
            assertEquals("refused", again.path("fate").asText());
        }

        @Test
        void ofTwoOperatorsAtOneMomentOneWinsAndTheOtherIsTold() throws Exception {
            fleet.platform.setFaults("{\"delayMillis\":200}");
            CompletableFuture<JsonNode> a =
                    CompletableFuture.supplyAsync(() -> fleet.command(north, "wave start w --hall north", "ana"));
            CompletableFuture<JsonNode> b =
                    CompletableFuture.supplyAsync(() -> fleet.command(south, "wave start w --hall south", "ben"));
            List<JsonNode> both = List.of(a.get(20, TimeUnit.SECONDS), b.get(20, TimeUnit.SECONDS));
            List<String> fates =
                    both.stream().map(r -> r.path("fate").asText()).sorted().toList();
            assertEquals(List.of("accepted", "refused"), fates);
            boolean anaWon = both.get(0).path("fate").asText().equals("accepted");
            String told = both.get(anaWon ? 1 : 0).path("lines").toString();
            assertTrue(told.contains(anaWon ? "ana" : "ben"), told);
        }
    }

    @Nested
    class Waves {

        @Test
        void endWithEveryInstanceBackAndNoRequestCutOff() throws Exception {
            AtomicBoolean going = new AtomicBoolean(true);
            List<HttpResponse<String>> answers = new ArrayList<>();
            CompletableFuture<Void> callers = CompletableFuture.runAsync(() -> callUntil(going, answers));
            fleet.accepted(north, "wave start all --pool clips");
            Await.until(
                    "the wave is done", 60, () -> fleet.waveState(south, "all").equals("DONE"));
            going.set(false);
            callers.get(30, TimeUnit.SECONDS);
            assertEquals(0, fleet.cutOff());
            answers.forEach(r -> assertEquals(
                    200, r.statusCode(), r.headers().firstValue("Lupin-Reason").orElse("")));
            assertTrue(answers.size() > 20, "only " + answers.size() + " requests were made meanwhile");
            fleet.workers
                    .keySet()
                    .forEach(w -> assertEquals(
                            "IN_SERVICE", fleet.instance(north, w).path("state").asText()));
        }

        private void callUntil(AtomicBoolean going, List<HttpResponse<String>> answers) {
            try {
                for (int i = 0; going.get(); i++) {
                    EntryProcess e = i % 2 == 0 ? north : south;
                    answers.add(fleet.send(fleet.request(e, "clips", "x" + i, "Run-Millis", "40")));
                }
            } catch (Exception e) {
                throw new AssertionError(e);
            }
        }

        @Test
        void sendNothingToALeavingInstanceWithinSecondsAndWaitForItsWork() throws Exception {
            var slow = fleet.sendAsync(fleet.request(north, "clips", "whole", "Run-Millis", "6000"));
            String runsOn = Await.value(
                    "it runs somewhere",
                    10,
                    () -> fleet.workers.keySet().stream()
                            .filter(w ->
                                    fleet.worker(w, "/status").path("running").asInt() == 1)
                            .findFirst()
                            .orElse(null));
            fleet.platform.setFaults("{\"listLagMillis\":10000}");
            String rack = fleet.instance(north, runsOn).path("rack").asText();
            fleet.accepted(north, "wave start all --rack " + rack + " --order one-at-a-time");
            Await.until(runsOn + " leaves", 60, () -> {
                if (slow.isDone()) {
                    throw new AssertionError("the slow request ended before its instance left");
                }
                return fleet.instance(south, runsOn).path("state").asText().equals("LEAVING");
            });
            for (int i = 0; i < 20; i++) {
                HttpResponse<String> r = fleet.send(fleet.request(south, "clips", "y"));
                assertEquals(200, r.statusCode());
                assertTrue(!r.body().startsWith(runsOn + ":"), "new work went to " + runsOn);
            }
            assertEquals("LEAVING", fleet.instance(south, runsOn).path("state").asText());
            HttpResponse<String> r = slow.get(30, TimeUnit.SECONDS);
            assertEquals(runsOn + ":whole", r.body());
            assertEquals(0, fleet.cutOff());
        }

        @Test
        void areTakenOverWhenTheirDriverIsKilled() throws Exception {
            fleet.accepted(north, "wave start all --pool clips --order one-at-a-time");
            EntryProcess driver = driver();
            Await.until(
                    "one is out",
                    30,
                    () -> fleet.command(south.equals(driver) ? north : south, "instance list")
                            .toString()
                            .contains("REBOOTING"));
            driver.kill();
            EntryProcess left = driver.equals(north) ? south : north;
            Await.until(
                    "the wave is done", 90, () -> fleet.waveState(left, "all").equals("DONE"));
            assertEquals(0, fleet.cutOff());
        }

        @Test
        void areTakenOverFromAFrozenDriverWhichThenCutsOffNothing() throws Exception {
            fleet.accepted(north, "wave start all --pool clips --order one-at-a-time");
            EntryProcess driver = driver();
            driver.freeze();
            EntryProcess left = driver.equals(north) ? south : north;
            Await.until(
                    "the wave is done", 90, () -> fleet.waveState(left, "all").equals("DONE"));
            var running = fleet.sendAsync(fleet.request(left, "clips", "x", "Run-Millis", "2500"));
            driver.thaw();
            assertEquals(200, running.get(20, TimeUnit.SECONDS).statusCode());
            assertEquals(0, fleet.cutOff());
        }

        private EntryProcess driver() {
            return Await.value(
                    "a driver",
                    20,
                    () -> fleet.entries.stream()
                            .filter(e -> e.line("event=wave-driver") != null)
                            .findFirst()
                            .orElse(null));
        }

        @Test
        void haltAtTheFirstInstanceThatStaysAway() throws Exception {
            fleet.workers.keySet().forEach(w -> fleet.behave(w, "{\"stayDown\":true}"));
            fleet.accepted(north, "wave start all --pool clips");
            Await.until(
                    "the wave halts", 60, () -> fleet.waveState(south, "all").equals("HALTED"));
            long away = fleet.workers.keySet().stream()
                    .filter(w -> fleet.instance(north, w).path("state").asText().equals("REBOOTING"))
                    .count();
            assertEquals(1, away, "the first of a wave goes alone");
            assertEquals(
                    1,
                    fleet.command(north, "service list")
                            .path("data")
                            .path(0)
                            .path("permits")
                            .size(),
                    "its permit stays taken");
            for (int i = 0; i < 10; i++) {
                assertEquals(
                        200, fleet.send(fleet.request(south, "clips", "x" + i)).statusCode());
            }
        }

        @Test
        void thatCanNeverFinishAreRefused() {
            fleet.accepted(north, "service change clips --budget 6");
            JsonNode r = fleet.command(north, "wave start all --pool clips");
            assertEquals("refused", r.path("fate").asText());
            assertTrue(r.path("lines").toString().contains("its budget is 6"), r.toString());
            assertNotEquals(
                    0,
                    fleet.command(north, "wave plan all --pool clips")
                            .path("data")
                            .path("blockers")
                            .size());
        }

        @Test
        void putBackWhatHasNotReachedItsRebootWhenPaused() throws Exception {
            var slow = new ArrayList<CompletableFuture<HttpResponse<String>>>();
            for (int i = 0; i < 24; i++) {
                slow.add(fleet.sendAsync(fleet.request(north, "clips", "s", "Run-Millis", "5000")));
            }
            Await.until("all are busy", 10, () -> fleet.running() == 24);
            fleet.accepted(north, "wave start all --pool clips");
            Await.until(
                    "one leaves",
                    20,
                    () -> fleet.command(north, "instance list").toString().contains("LEAVING"));
            fleet.accepted(south, "wave pause all");
            Await.until(
                    "it is back",
                    20,
                    () -> !fleet.command(north, "instance list")
                            .path("data")
                            .toString()
                            .matches(".*(LEAVING|RETURNING|REBOOTING).*"));
            Await.until(
                    "no permit is left",
                    10,
                    () -> fleet.command(north, "service list")
                            .path("data")
                            .path(0)
                            .path("permits")
                            .isEmpty());
            fleet.workers
                    .keySet()
                    .forEach(w -> assertEquals(
                            false, fleet.worker(w, "/status").path("leaving").asBoolean()));
            for (var s : slow) {
                assertEquals(200, s.get(20, TimeUnit.SECONDS).statusCode());
            }
        }
    }
}
