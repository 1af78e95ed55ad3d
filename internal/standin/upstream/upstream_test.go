package upstream_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/standin/upstream"
)

const task = "000102030405060708090a0b0c0d0e0f/7"

// waitLimit bounds waits whose length a test does not check.
const waitLimit = 10 * time.Second

func startServer(t testing.TB, factor float64) (s *upstream.Server, stop context.CancelFunc, served chan error) {
	t.Helper()
	s, err := upstream.New(upstream.Options{Name: "u1", Address: "127.0.0.1:0", ControlAddress: "127.0.0.1:0", Factor: factor})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	served = make(chan error, 1)
	go func() { served <- s.Serve(ctx) }()
	t.Cleanup(stop)
	return s, stop, served
}

func postTask(ctx context.Context, s *upstream.Server, body string) (int, upstream.Answer, error) {
	var answer upstream.Answer
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL()+"/run", strings.NewReader(body))
	if err != nil {
		return 0, answer, err
	}
	request.Header.Set(upstream.HeaderTask, task)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, answer, err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return response.StatusCode, answer, err
	}
	return response.StatusCode, answer, json.Unmarshal(raw, &answer)
}

// abandonTask sends a task, closes the connection at the given time after the start of the task and returns the client's
// error.
func abandonTask(s *upstream.Server, body string, after time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	go func() {
		for s.Counters().Running == 0 && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(after)
		cancel()
	}()
	_, _, err := postTask(ctx, s, body)
	return err
}

// Guards against a stand-in that does not count a double start or answers for another request. Tests that rely on it would
// then pass without checking anything.
func TestCountersAndAnswerDescribeTheTask(t *testing.T) {
	g := gomega.NewWithT(t)
	s, _, _ := startServer(t, 2)
	began := time.Now()
	for i := range 2 {
		_, answer, err := postTask(context.Background(), s, `{"work_ms": 20, "answer_bytes": 10}`)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(answer.Task).To(gomega.Equal(task))
		g.Expect(answer.BodyBytes).To(gomega.Equal(35))
		g.Expect(answer.Padding).To(gomega.HaveLen(10))
		g.Expect(answer.Starts).To(gomega.BeEquivalentTo(i + 1))
	}
	g.Expect(time.Since(began)).To(gomega.BeNumerically(">=", 80*time.Millisecond), "two tasks of 20 ms at factor 2")
	g.Expect(abandonTask(s, `{"work_ms": 60000}`, 0)).To(gomega.HaveOccurred())
	g.Eventually(func() uint64 { return s.Counters().Cancelled }, 5*time.Second).Should(gomega.BeEquivalentTo(1))
	want := upstream.Counters{Starts: 3, DoubleStarts: 2, Answered: 2, Cancelled: 1, MaxRunning: 1}
	g.Expect(s.Counters()).To(gomega.Equal(want))
	g.Expect(s.Starts(task)).To(gomega.Equal(3))
}

// Guards against faults that have no effect, or that stay active after they were cleared over the control address.
func TestFaultsAreSetOverTheControlAddress(t *testing.T) {
	g := gomega.NewWithT(t)
	s, _, _ := startServer(t, 1)
	put := func(faults string) int {
		request, err := http.NewRequest(http.MethodPut, s.ControlURL()+"/faults", bytes.NewBufferString(faults))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		response, err := http.DefaultClient.Do(request)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_ = response.Body.Close()
		return response.StatusCode
	}
	call := func() (int, error) {
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		defer cancel()
		status, _, err := postTask(ctx, s, "")
		return status, err
	}
	g.Expect(put(`{"fail": true}`)).To(gomega.Equal(http.StatusNoContent))
	g.Expect(call()).To(gomega.Equal(http.StatusInternalServerError))
	abandon := func() error { return abandonTask(s, "", 300*time.Millisecond) }
	send := func() error { _, err := call(); return err }
	for fault, try := range map[string]func() error{`{"hang": true}`: abandon, `{"reset": true}`: send, `{"refuse": true}`: send} {
		g.Expect(put(fault)).To(gomega.Equal(http.StatusNoContent))
		err := try()
		g.Expect(err).To(gomega.HaveOccurred(), fault)
		g.Expect(errors.Is(err, context.DeadlineExceeded)).To(gomega.BeFalse(), fault)
		g.Expect(put(`{}`)).To(gomega.Equal(http.StatusNoContent))
		g.Expect(call()).To(gomega.Equal(http.StatusOK), "after %s", fault)
	}
	g.Expect(put(`{"slow": 5000}`)).To(gomega.Equal(http.StatusBadRequest))
	g.Expect(put(`{"unknown": 1}`)).To(gomega.Equal(http.StatusBadRequest))
}

// Guards against a graceful shutdown that aborts a request in progress.
func TestGracefulStopFinishesRunningTasks(t *testing.T) {
	g := gomega.NewWithT(t)
	s, stop, served := startServer(t, 1)
	answered := make(chan error, 1)
	go func() {
		_, _, err := postTask(context.Background(), s, `{"work_ms": 1000}`)
		answered <- err
	}()
	g.Eventually(func() uint64 { return s.Counters().Starts }, waitLimit, time.Millisecond).Should(gomega.BeEquivalentTo(1))
	stop()
	g.Expect(<-answered).To(gomega.Succeed())
	g.Expect(<-served).To(gomega.Succeed())
}
