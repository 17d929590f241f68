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
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Requests over real sockets and processes: two entries, four workers in two halls. */
class RequestFailureTest {

    private static TestFleet fleet;
    private static EntryProcess north;
    private static EntryProcess south;

    @BeforeAll
    static void start() throws Exception {
        fleet = new TestFleet(4, 4);
        north = fleet.startEntry("north-1", "north", true);
        south = fleet.startEntry("south-1", "south", true);
        fleet.configure("clips", 1);
    }

    @AfterAll
    static void stop() throws Exception {
        fleet.close();
    }

    @AfterEach
    void behaveAgain() throws Exception {
        fleet.platform.setFaults("{}");
        fleet.workers.keySet().forEach(w -> fleet.behave(w, "{}"));
    }

    private static String verdict(HttpResponse<String> r) {
        return r.headers().firstValue("Lupin-Verdict").orElse("none");
    }

    private static String reason(HttpResponse<String> r) {
        return r.headers().firstValue("Lupin-Reason").orElse("none");
    }

    @Nested
    class Answers {

        @Test
        void areWholeAndOnesOwnWhateverTheirOrder() throws Exception {
            List<CompletableFuture<HttpResponse<String>>> all = new ArrayList<>();
            for (int i = 0; i < 120; i++) {
                EntryProcess e = i % 2 == 0 ? north : south;
                String text = "text " + i + " ".repeat(i * 7 % 900) + "end " + i;
                String millis = Integer.toString(i * 37 % 90);
                all.add(fleet.sendAsync(fleet.request(e, "clips", text, "Run-Millis", millis)));
            }
            for (int i = 0; i < 120; i++) {
                HttpResponse<String> r = all.get(i).get(30, TimeUnit.SECONDS);
                String own = "text " + i + " ".repeat(i * 7 % 900) + "end " + i;
                assertEquals(200, r.statusCode(), reason(r));
                assertEquals(own, r.body().substring(r.body().indexOf(':') + 1));
            }
        }

        @Test
        void ofARequestThatRunsLongerThanAnIdleConnectionLivesAreWhole() throws Exception {
            HttpResponse<String> r = fleet.send(
                    fleet.request(north, "clips", "long", "Run-Millis", "33000", "Lupin-Deadline-Ms", "60000"));
            assertEquals(200, r.statusCode(), reason(r));
            assertTrue(r.body().endsWith(":long"));
        }

        @Test
        void carryOneTraceFromCallerToWorkerWithASpanForEachHop() throws Exception {
            String trace = "0af7651916cd43dd8448eb211c80319c";
            HttpResponse<String> r = fleet.send(fleet.request(
                    north,
                    "clips",
                    "t",
                    "Request-Id",
                    "traced-1",
                    "traceparent",
                    "00-" + trace + "-b7ad6b7169203331-01"));
            String worker = r.body().substring(0, r.body().indexOf(':'));
            assertTrue(fleet.worker(worker, "/standin/counts")
                    .path("lastTrace")
                    .asText()
                    .contains(trace));
            String spans = fleet.command(north, "trace traced-1").path("lines").toString();
            assertTrue(spans.contains("request clips") && spans.contains("slot") && spans.contains("attempt"), spans);
            assertTrue(spans.contains(trace), spans);
        }

        @Test
        void thatBreakOffAreNeverPassedOnInPart() throws Exception {
            fleet.workers.keySet().forEach(w -> fleet.behave(w, "{\"cutAnswers\":true}"));
            HttpResponse<String> r = fleet.send(fleet.request(north, "clips", "0123456789", "Job-Id", "cut-1"));
            assertEquals(502, r.statusCode());
            assertEquals("may-have-run", verdict(r));
            assertEquals("", r.body());
            assertEquals(1, fleet.runsOf("cut-1"), "an unsafe request was sent again");
        }

        @Test
        void ofARepeatableRequestComeFromAnotherWorkerWhenOneCutsThem() throws Exception {
            fleet.behave("w0", "{\"cutAnswers\":true}");
            fleet.behave("w1", "{\"cutAnswers\":true}");
            for (int i = 0; i < 4; i++) {
                HttpResponse<String> r = fleet.send(fleet.request(north, "clips", "x" + i, "Lupin-Repeatable", "true"));
                assertTrue(
                        r.statusCode() == 200 && r.body().endsWith("x" + i) || r.statusCode() != 200,
                        r.statusCode() + " " + r.body());
            }
        }
    }

    @Nested
    class BadRequests {

        @Test
        void areToldWhatIsWrong() throws Exception {
            assertEquals(
                    400,
                    fleet.send(fleet.request(north, "clips", "x", "Lupin-Class", "soon"))
                            .statusCode());
            assertEquals(
                    400,
                    fleet.send(fleet.request(north, "clips", "x", "Lupin-Repeatable", "perhaps"))
                            .statusCode());
            assertEquals(404, fleet.send(fleet.request(north, "nothing", "x")).statusCode());
            HttpResponse<String> large = fleet.send(fleet.request(north, "clips", "x".repeat(5_000)));
            assertEquals(413, large.statusCode());
            assertEquals("not-run", verdict(large));
            HttpResponse<String> heavy = fleet.send(fleet.request(north, "clips", "x", "Lupin-Memory-Mb", "900000"));
            assertEquals(422, heavy.statusCode());
            assertEquals("too-large", reason(heavy));
        }

        @Test
        void withoutTheTokenOperatorsGetNothing() throws Exception {
            java.net.http.HttpClient c = java.net.http.HttpClient.newHttpClient();
            var r = c.send(
                    java.net.http.HttpRequest.newBuilder(
                                    java.net.URI.create("http://" + north.operator + "/v1/command"))
                            .header("Authorization", "Bearer wrong")
                            .POST(java.net.http.HttpRequest.BodyPublishers.ofString(
                                    "service create evil --budget 0 --reserve none"))
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            assertEquals(401, r.statusCode());
            assertFalse(fleet.command(north, "service list").toString().contains("evil"));
            assertFalse(north.log().contains(TestFleet.TOKEN), "the token is in the log");
        }
    }

    @Nested
    class UnsafeJobs {

        @Test
        void runOnceWhenTriedAgainThroughAnotherEntry() throws Exception {
            HttpResponse<String> first = fleet.send(fleet.request(north, "clips", "bill", "Job-Id", "bill-1"));
            HttpResponse<String> second = fleet.send(fleet.request(south, "clips", "bill", "Job-Id", "bill-1"));
            assertEquals("ran", verdict(first));
            assertEquals(409, second.statusCode());
            assertEquals("may-have-run", verdict(second));
            assertEquals(1, fleet.runsOf("bill-1"));
        }

        @Test
        void runOnceWhenBothTriesRaceWithOneRequestId() throws Exception {
            for (int i = 0; i < 10; i++) {
                String job = "race-" + i;
                String[] headers = {"Job-Id", job, "Request-Id", job, "Run-Millis", "30"};
                var a = fleet.sendAsync(fleet.request(north, "clips", "x", headers));
                var b = fleet.sendAsync(fleet.request(south, "clips", "x", headers));
                a.get(20, TimeUnit.SECONDS);
                b.get(20, TimeUnit.SECONDS);
                assertEquals(1, fleet.runsOf(job));
            }
        }

        @Test
        void runOnceWhenTheReplyToTheClaimIsLost() throws Exception {
            for (int i = 0; i < 5; i++) {
                fleet.platform.setFaults("{\"loseReplies\":1}");
                HttpResponse<String> r = fleet.send(fleet.request(north, "clips", "x", "Job-Id", "lost-" + i));
                fleet.platform.setFaults("{}");
                HttpResponse<String> again = fleet.send(fleet.request(south, "clips", "x", "Job-Id", "lost-" + i));
                assertEquals(1, fleet.runsOf("lost-" + i), verdict(r) + " " + verdict(again));
            }
        }

        @Test
        void areNotRunWhileTheStoreIsAwayAndRunAfterwards() throws Exception {
            fleet.platform.setFaults("{\"down\":true}");
            HttpResponse<String> r = fleet.send(fleet.request(north, "clips", "x", "Job-Id", "away-1"));
            assertEquals("store-away", reason(r));
            assertEquals("not-run", verdict(r));
            assertTrue(r.headers().firstValue("Retry-After").isPresent());
            assertEquals(0, fleet.runsOf("away-1"));
            HttpResponse<String> safe = fleet.send(fleet.request(north, "clips", "x", "Lupin-Repeatable", "true"));
            assertEquals(200, safe.statusCode(), "work that needs no claim goes on without the store");
            fleet.platform.setFaults("{}");
            HttpResponse<String> later = Await.value("the job runs when the store is back", 20, () -> {
                try {
                    var x = fleet.send(fleet.request(north, "clips", "x", "Job-Id", "away-1"));
                    return x.statusCode() == 503 ? null : x;
                } catch (Exception e) {
                    throw new AssertionError(e);
                }
            });
            assertEquals("ran", verdict(later));
            assertEquals(1, fleet.runsOf("away-1"));
        }
    }

    @Nested
    class GivenUp {

        @Test
        void requestsAreAnsweredAtTheirDeadlineAndNotLater() throws Exception {
            long start = System.nanoTime();
            HttpResponse<String> r =
                    fleet.send(fleet.request(north, "clips", "x", "Run-Millis", "9000", "Lupin-Deadline-Ms", "600"));
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
            assertEquals(504, r.statusCode());
            assertEquals("may-have-run", verdict(r));
            assertTrue(millis < 4_000, "answered after " + millis + " ms");
        }

        @Test
        void burstsOfCancellationsFreeTheQueueAndSendNothingToWorkers() throws Exception {
            Await.until("workers are idle", 20, () -> fleet.running() == 0);
            List<CompletableFuture<HttpResponse<String>>> busy = new ArrayList<>();
            for (int i = 0; i < 16; i++) {
                busy.add(fleet.sendAsync(fleet.request(north, "clips", "busy", "Run-Millis", "5000")));
            }
            // A worker that an earlier test made look bad may be on probe, with one slot.
            Await.until("all run or wait", 10, () -> fleet.running() + waits() == 16 && fleet.running() >= 12);
            int waitedBefore = waits();
            List<CompletableFuture<HttpResponse<String>>> waiting = new ArrayList<>();
            Set<String> ids = new HashSet<>();
            for (int i = 0; i < 40; i++) {
                ids.add("burst-" + i);
                waiting.add(fleet.sendAsync(
                        fleet.request(north, "clips", "x", "Request-Id", "burst-" + i, "Job-Id", "burst-" + i)));
            }
            Await.until("they wait", 10, () -> waits() == waitedBefore + 40);
            ids.forEach(id -> fleet.cancel(south, id));
            for (CompletableFuture<HttpResponse<String>> w : waiting) {
                HttpResponse<String> r = w.get(3, TimeUnit.SECONDS);
                assertEquals("cancelled", reason(r));
                assertEquals("not-run", verdict(r));
            }
            assertEquals(waitedBefore, waits());
            ids.forEach(id -> assertEquals(0, fleet.runsOf(id)));
            for (CompletableFuture<HttpResponse<String>> b : busy) {
                assertEquals(200, b.get(20, TimeUnit.SECONDS).statusCode());
            }
        }

        private int waits() {
            return fleet.command(north, "metrics")
                            .path("data")
                            .path("slots.waiting")
                            .asInt()
                    + fleet.command(south, "metrics")
                            .path("data")
                            .path("slots.waiting")
                            .asInt();
        }
    }

    @Nested
    class Processes {

        @Test
        void anEntryThatIsKilledTakesNoOtherRequestWithIt() throws Exception {
            EntryProcess third = fleet.startEntry("north-2", "north", true);
            var lost = fleet.sendAsync(fleet.request(third, "clips", "x", "Run-Millis", "3000", "Job-Id", "k-1"));
            Await.until("it runs", 10, () -> fleet.runsOf("k-1") == 1);
            third.kill();
            try {
                HttpResponse<String> r = lost.get(10, TimeUnit.SECONDS);
                throw new AssertionError("an answer out of nowhere: " + r.statusCode());
            } catch (ExecutionException e) {
                assertTrue(e.getCause() instanceof java.io.IOException, "the connection is visibly broken off");
            }
            HttpResponse<String> again = fleet.send(fleet.request(south, "clips", "x", "Job-Id", "k-1"));
            assertEquals("may-have-run", verdict(again));
            assertEquals(1, fleet.runsOf("k-1"));
            for (int i = 0; i < 10; i++) {
                assertEquals(
                        200, fleet.send(fleet.request(south, "clips", "y" + i)).statusCode());
            }
        }

        @Test
        void aFrozenWorkerHoldsUpNoCallerBeyondItsDeadline() throws Exception {
            JavaProcess worker = new JavaProcess(
                    fleet.dir,
                    "frozen",
                    "org.lupinpaddle.standins.StandInMain",
                    "worker",
                    "frozen",
                    "north",
                    "r9",
                    "4",
                    "1000",
                    fleet.platform.address());
            try {
                fleet.accepted(north, "service create solo --budget 0 --reserve none");
                fleet.accepted(north, "pool create solo --service solo --site a");
                fleet.accepted(
                        north,
                        "instance add frozen --pool solo --hall north --rack r9 --address " + worker.field("address")
                                + " --slots 4 --memory 1000");
                Await.until("it serves", 15, () -> status("solo") == 200);
                worker.freeze();
                long start = System.nanoTime();
                HttpResponse<String> r =
                        fleet.send(fleet.request(north, "solo", "x", "Lupin-Deadline-Ms", "700", "Job-Id", "frozen-1"));
                long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
                assertEquals("may-have-run", verdict(r));
                assertTrue(millis < 4_000, "answered after " + millis + " ms");
                HttpResponse<String> again = fleet.send(fleet.request(south, "solo", "x", "Job-Id", "frozen-1"));
                assertEquals("claimed", reason(again));
                assertEquals(200, fleet.send(fleet.request(north, "clips", "y")).statusCode());
            } finally {
                worker.kill();
            }
            HttpResponse<String> dead = fleet.send(fleet.request(north, "solo", "x", "Lupin-Deadline-Ms", "3000"));
            assertNotEquals(200, dead.statusCode());
        }

        private int status(String service) {
            try {
                return fleet.send(fleet.request(north, service, "x")).statusCode();
            } catch (Exception e) {
                throw new AssertionError(e);
            }
        }

        @Test
        void aPlannedStopCutsOffNoRequest() throws Exception {
            EntryProcess third = fleet.startEntry("south-2", "south", true);
            var slow = fleet.sendAsync(fleet.request(third, "clips", "whole", "Run-Millis", "2500", "Job-Id", "st-1"));
            Await.until("it runs", 10, () -> fleet.runsOf("st-1") == 1);
            third.terminate();
            Await.until("its health answer turns", 5, () -> fleet.health(third) == 503);
            HttpResponse<String> r = slow.get(15, TimeUnit.SECONDS);
            assertEquals(200, r.statusCode());
            assertTrue(r.body().endsWith(":whole"));
            assertTrue(third.hasEnded(15), "the process ended");
        }

        @Test
        void aFrozenOwnerOfSlotsIsPassedOver() throws Exception {
            EntryProcess third = fleet.startEntry("north-3", "north", true);
            third.freeze();
            for (int i = 0; i < 10; i++) {
                HttpResponse<String> r = fleet.send(
                        fleet.request(i % 2 == 0 ? north : south, "clips", "z" + i, "Lupin-Class", "urgent"));
                assertEquals(200, r.statusCode(), reason(r));
            }
            third.thaw();
            Await.until("it serves again", 20, () -> {
                try {
                    return fleet.send(fleet.request(third, "clips", "again")).statusCode() == 200;
                } catch (Exception e) {
                    return false;
                }
            });
            third.kill();
        }
    }
}
