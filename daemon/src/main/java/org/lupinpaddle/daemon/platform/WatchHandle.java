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
package org.lupinpaddle.daemon.platform;

import java.util.concurrent.CancellationException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.Request;

/** One watch request, which ends once: by being stopped or by breaking off. */
final class WatchHandle implements Platform.Watch {

    private final Request request;
    private final Runnable onEnd;
    private final AtomicBoolean over = new AtomicBoolean();

    WatchHandle(Request request, Runnable onEnd) {
        this.request = request;
        this.onEnd = onEnd;
    }

    void ended() {
        if (over.compareAndSet(false, true)) {
            onEnd.run();
        }
    }

    @Override
    public void stop() {
        over.set(true);
        var unused = request.abort(new CancellationException("watch stopped"));
    }
}
