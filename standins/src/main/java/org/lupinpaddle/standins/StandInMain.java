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
package org.lupinpaddle.standins;

import java.util.concurrent.CountDownLatch;
import org.lupinpaddle.standins.jobs.JobPlatformStandIn;
import org.lupinpaddle.standins.jobs.JobWorkerStandIn;

/**
 * Starts one stand-in and prints a line {@code event=started address=IP:PORT} once it serves.
 *
 * <pre>
 *   platform [PORT]
 *   worker ID HALL RACK SLOTS MEMORY_MB PLATFORM_ADDRESS
 * </pre>
 */
public final class StandInMain {

    private static final int WORKER_ARGUMENTS = 7;
    private static final int JOB_WORKER_ARGUMENTS = 6;

    private StandInMain() {}

    public static void main(String[] args) throws Exception {
        if (args.length >= 1 && args[0].equals("platform")) {
            PlatformStandIn platform = PlatformStandIn.start(args.length > 1 ? Integer.parseInt(args[1]) : 0);
            System.out.println("event=started address=" + platform.address());
        } else if (args.length == WORKER_ARGUMENTS && args[0].equals("worker")) {
            WorkerPlace place =
                    new WorkerPlace(args[1], args[2], args[3], Integer.parseInt(args[4]), Integer.parseInt(args[5]));
            WorkerStandIn worker = WorkerStandIn.start(place, args[6]);
            System.out.println("event=started address=" + worker.address());
        } else if (args.length >= 1 && args[0].equals("job-platform")) {
            JobPlatformStandIn platform = JobPlatformStandIn.start(args.length > 1 ? Integer.parseInt(args[1]) : 0);
            System.out.println("event=started address=" + platform.address());
        } else if (args.length == JOB_WORKER_ARGUMENTS && args[0].equals("job-worker")) {
            JobWorkerStandIn worker = JobWorkerStandIn.start(args[1], args[2], args[3], args[4], args[5]);
            System.out.println("event=started address=" + worker.address());
        } else {
            System.err.println("usage: platform [PORT] | worker ID HALL RACK SLOTS MEMORY_MB PLATFORM_ADDRESS"
                    + " | job-platform [PORT] | job-worker MACHINE POOL HALL RACK PLATFORM_ADDRESS");
            System.exit(2);
        }
        new CountDownLatch(1).await();
    }
}
